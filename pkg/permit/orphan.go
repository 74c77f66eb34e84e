package permit

import "github.com/sesamemux/sesamemux/pkg/view"

// orphan is work of a gate without a lease that may still run on a target.
type orphan struct {
	Gate        view.GateName
	Incarnation view.Incarnation // of the gate
	Permits     int
	Revision    view.Revision // at which the gate lost the permits
	Since       view.Time     // from when on the gate sends nothing new
}

// orphanSum is the work that may still run without a live gate.
func orphanSum(list []orphan) int {
	n := 0
	for _, o := range list {
		n += o.Permits
	}
	return n
}

// OrphanedTargets returns the targets that have orphan parts, in order. Their own
// counts can end these early.
func (a *Allocator) OrphanedTargets() []view.TargetID {
	var out []view.TargetID
	for _, t := range a.sorted() {
		if len(t.Orphans) > 0 {
			out = append(out, t.ID)
		}
	}
	return out
}
