package groups

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// stage is a step of a group's life at which a fault strikes.
type stage struct {
	name string
	// reach plays until a group is there and gives it.
	reach func(w *World) (view.Group, bool)
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

// find gives the first group that a condition holds for.
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
	if !w.RunUntil(reachBound, w.whole) {
		return view.Group{}, false
	}
	return w.find(func(g view.Group) bool { return takes(g) && w.hasSpare(g.FabricDomain) })
}

// hasSpare tells whether a host of a fabric domain has no role.
func (w *World) hasSpare(fabric string) bool {
	for _, e := range w.engines {
		h, _ := w.machine.Host(e.host.Name)
		if e.up && e.host.FabricDomain == fabric && h.Group == "" {
			return true
		}
	}
	return false
}

// repairing kills a member of a serving group and waits until a spare loads.
func repairing(w *World) (view.Group, bool) {
	g, ok := serving(w)
	if !ok {
		return g, false
	}
	w.down(w.member(g), 0, false, false)
	ok = w.RunUntil(reachBound, func() bool { return w.spareOf(g) != nil })
	return w.current[g.ID], ok
}

// verifying waits until a spare has taken over and members are read back.
func verifying(w *World) (view.Group, bool) {
	if _, ok := repairing(w); !ok {
		return view.Group{}, false
	}
	return inState(view.StateVerifying)(w)
}

// rollingOut changes the version and waits until a group loads the new one.
func rollingOut(w *World) (view.Group, bool) {
	if _, ok := serving(w); !ok {
		return view.Group{}, false
	}
	w.want("v2")
	return w.find(func(g view.Group) bool { return g.Version == "v2" && g.State == view.StateLoading })
}

// dissolving wants fewer groups and waits until one dissolves. Then all are
// wanted again.
func dissolving(w *World) (view.Group, bool) {
	if _, ok := serving(w); !ok {
		return view.Group{}, false
	}
	less := objects("v1")
	less.ModelGroups[0].Copies = 2
	w.objects = less
	w.step(group.ObjectsPublished{Set: less})
	g, ok := inState(view.StateDissolving)(w)
	w.want("v1")
	return g, ok
}
