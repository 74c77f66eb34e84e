package permit

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

func (a *Allocator) useReported(now view.Time, rev view.Revision, e UsageReported) []Change {
	if _, ok := a.gates[e.Gate]; !ok {
		return nil
	}
	if e.Final && !a.leaving[e.Gate] {
		a.leaving[e.Gate] = true
		a.generation++
	}
	var changes []Change
	for _, u := range e.Uses {
		t, ok := a.targets[u.Target]
		if !ok || !t.Up || t.Incarnation != u.Incarnation {
			continue
		}
		changes = append(changes, a.use(t, now, rev, e, u)...)
		t.prune(e.Gate)
	}
	return changes
}

func (a *Allocator) use(t *target, now view.Time, rev view.Revision, e UsageReported, u view.TargetUse) []Change {
	h := t.holding(e.Gate)
	before, queued := h.Exposed, h.Queued
	reclaimed := a.reclaim(t, h, u)
	h.InFlight, h.Queued = u.InFlight, u.Queued
	t.prove(h, u)
	h.settle(u, e.Final)
	if u.Suspect && u.InForce >= t.FellAt && !a.options.Unsafe.IgnoreSuspicion {
		t.fall(now, rev)
		return a.spread(t, now, rev)
	}
	if reclaimed || h.Exposed < before || (h.Queued > 0 && queued == 0) {
		return a.rebalance(t, now, rev)
	}
	return nil
}

// reclaim turns the orphan part of a gate that came back with the same
// incarnation into its own account of its work.
func (a *Allocator) reclaim(t *target, h *holding, u view.TargetUse) bool {
	inc := a.gates[h.Gate]
	n := len(t.Orphans)
	t.Orphans = slices.DeleteFunc(t.Orphans, func(o orphan) bool {
		return o.Gate == h.Gate && o.Incarnation == inc && u.InForce >= o.Revision
	})
	if len(t.Orphans) == n {
		return false
	}
	h.Exposed = max(h.Exposed, u.InFlight)
	return true
}
