package permit

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Allocator divides the bounds of all targets among the gates. It is
// deterministic and meant for one goroutine.
type Allocator struct {
	options Options
	targets map[view.TargetID]*target
	gates   map[view.GateName]view.Incarnation // with a lease, as far as known
	leaving map[view.GateName]bool             // of these, those that take no more work

	generation uint64 // counts changes of the gates, from 1; not part of the state
}

// NewAllocator returns an allocator without targets and gates.
func NewAllocator(o Options) *Allocator {
	return &Allocator{
		options: o.withDefaults(),
		targets: make(map[view.TargetID]*target),
		gates:   make(map[view.GateName]view.Incarnation),
		leaving: make(map[view.GateName]bool),

		generation: 1,
	}
}

// Step takes one event and returns what to publish at revision rev.
func (a *Allocator) Step(now view.Time, rev view.Revision, ev Event) []Change {
	switch e := ev.(type) {
	case TargetUp:
		return a.targetUp(now, rev, e)
	case TargetDown:
		return a.targetGone(now, rev, e)
	case UsageReported:
		return a.useReported(now, rev, e)
	case TargetReported:
		return a.targetReported(now, rev, e)
	case GateSeen:
		return a.gateSeen(now, rev, e)
	case GateGone:
		return a.gateGone(now, rev, e)
	case Ticked:
		return a.ticked(now, rev)
	case BarrierPassed:
		// Settling needs the gate's own count of its work as well, which
		// carries the revision that it was counted at.
		return nil
	}
	return nil
}

func (a *Allocator) sorted() []*target {
	ids := make([]view.TargetID, 0, len(a.targets))
	for id := range a.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	list := make([]*target, len(ids))
	for i, id := range ids {
		list[i] = a.targets[id]
	}
	return list
}

func (a *Allocator) gateNames() []view.GateName {
	names := make([]view.GateName, 0, len(a.gates))
	for g := range a.gates {
		if !a.leaving[g] {
			names = append(names, g)
		}
	}
	slices.Sort(names)
	return names
}
