package permit

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

func (a *Allocator) usageReported(now view.Time, rev view.Revision, e UsageReported) []Change {
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
		changes = append(changes, a.applyUsage(t, now, rev, e, u)...)
		t.prune(e.Gate)
	}
	return changes
}

func (a *Allocator) applyUsage(t *target, now view.Time, rev view.Revision, e UsageReported, u view.TargetUse) []Change {
	h := t.holding(e.Gate)
	before, queued := h.Exposed, h.Queued
	reclaimed := a.reclaim(t, h, u)
	h.InFlight, h.Queued = u.InFlight, u.Queued
	t.countResults(h, u)
	h.settle(u, e.Final)
	if u.Suspect && u.InForce >= t.ResetAt && !a.options.Unsafe.IgnoreSuspicion {
		t.resetToCold(now, rev)
		return a.redistribute(t, now, rev)
	}
	if reclaimed || h.Exposed < before || (h.Queued > 0 && queued == 0) {
		return a.rebalance(t, now, rev)
	}
	return nil
}

// reclaim replaces the orphan of a gate that reports again with the same
// incarnation by the gate's own report of its work.
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
