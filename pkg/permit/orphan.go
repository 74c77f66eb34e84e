package permit

import "github.com/sesamemux/sesamemux/pkg/view"

// orphan is the work of a gate without a lease that may still run on a target.
type orphan struct {
	Gate        view.GateName
	Incarnation view.Incarnation // of the gate
	Permits     int
	Revision    view.Revision // revision at which the gate lost the permits
	Since       view.Time     // time from which the gate sends nothing new
}

// orphanedPermits returns the sum of the permits of orphans.
func orphanedPermits(list []orphan) int {
	n := 0
	for _, o := range list {
		n += o.Permits
	}
	return n
}

// OrphanedTargets returns the targets that have orphans, sorted. A target's own
// count can end its orphans early.
func (a *Allocator) OrphanedTargets() []view.TargetID {
	var out []view.TargetID
	for _, t := range a.sortedTargets() {
		if len(t.Orphans) > 0 {
			out = append(out, t.ID)
		}
	}
	return out
}
