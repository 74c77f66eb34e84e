package groups

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// stage is a step of a group's life at which a fault is injected.
type stage struct {
	name string
	// await runs until a group is at the step, and returns it.
	await func(w *World) (view.Group, bool)
}

const reachBound = 2 * time.Minute

func stages() []stage {
	return []stage{
		{"while forming", inState(view.StateForming)},
		{"while loading", inState(view.StateLoading)},
		{"while verifying", verifying},
		{"while serving", serving},
		{"while repairing", repairing},
		{"while rolling out", rollingOut},
		{"while dissolving", dissolving},
	}
}

// find runs until a condition holds for a group, and returns the first such group.
func (w *World) find(cond func(view.Group) bool) (view.Group, bool) {
	var found view.Group
	ok := w.RunUntil(reachBound, func() bool {
		for _, g := range w.groups() {
			if cond(g) {
				found = g
				return true
			}
		}
		return false
	})
	return found, ok
}

func inState(s view.GroupState) func(*World) (view.Group, bool) {
	return func(w *World) (view.Group, bool) {
		return w.find(func(g view.Group) bool { return g.State == s })
	}
}

func serving(w *World) (view.Group, bool) {
	if !w.RunUntil(reachBound, w.allServing) {
		return view.Group{}, false
	}
	return w.find(func(g view.Group) bool { return takesWork(g) && w.hasSpare(g.FabricDomain) })
}

// hasSpare reports whether a host of a fabric domain has no role.
func (w *World) hasSpare(fabric string) bool {
	for _, e := range w.engines {
		h, _ := w.machine.Host(e.host.Name)
		if e.up && e.host.FabricDomain == fabric && h.Group == "" {
			return true
		}
	}
	return false
}

// repairing kills a member of a serving group and waits until a replacement loads.
func repairing(w *World) (view.Group, bool) {
	g, ok := serving(w)
	if !ok {
		return g, false
	}
	w.down(w.randomMember(g), 0, false, false)
	ok = w.RunUntil(reachBound, func() bool { return w.spareOf(g) != nil })
	return w.current[g.ID], ok
}

// verifying waits until a replacement has joined and its group's reports are checked.
func verifying(w *World) (view.Group, bool) {
	if _, ok := repairing(w); !ok {
		return view.Group{}, false
	}
	return inState(view.StateVerifying)(w)
}

// rollingOut publishes another version and waits until a group loads it.
func rollingOut(w *World) (view.Group, bool) {
	if _, ok := serving(w); !ok {
		return view.Group{}, false
	}
	w.publishVersion("v2")
	return w.find(func(g view.Group) bool { return g.Version == "v2" && g.State == view.StateLoading })
}

// dissolving reduces the copies, waits until a group dissolves, and restores the copies.
func dissolving(w *World) (view.Group, bool) {
	if _, ok := serving(w); !ok {
		return view.Group{}, false
	}
	less := objects("v1")
	less.ModelGroups[0].Copies = 2
	w.objects = less
	w.step(group.ObjectsPublished{Set: less})
	g, ok := inState(view.StateDissolving)(w)
	w.publishVersion("v1")
	return g, ok
}
