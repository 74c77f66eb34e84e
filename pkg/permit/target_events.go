package permit

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

func (a *Allocator) targetUp(now view.Time, rev view.Revision, e TargetUp) []Change {
	t, known := a.targets[e.Target]
	if !known || t.Incarnation != e.Incarnation {
		t = &target{ID: e.Target, Incarnation: e.Incarnation}
		a.targets[e.Target] = t
	}
	t.Max, t.RampTime = max(1, e.Max), e.RampTime
	t.Cold = min(max(1, e.Cold), t.Max)
	if !t.Up {
		t.Up = true
		t.Bound, t.StepSince, t.StepProof, t.ResetAt = t.Cold, now, 0, rev
		if a.options.Unsafe.SkipRamp {
			t.Bound = t.Max
		}
		return a.redistribute(t, now, rev)
	}
	if t.Bound <= t.Max {
		return nil
	}
	t.Bound = t.Max
	return a.redistribute(t, now, rev)
}

// targetDown keeps the work that may still run as orphans, in case the same
// incarnation accepts work again.
func (a *Allocator) targetDown(now view.Time, rev view.Revision, e TargetDown) []Change {
	t, ok := a.targets[e.Target]
	if !ok || !t.Up {
		return nil
	}
	t.Up = false
	for _, h := range slices.Clone(t.Holdings) {
		t.orphanHolding(orphan{Gate: h.Gate, Incarnation: a.gates[h.Gate], Revision: rev, Since: now})
	}
	if len(t.Orphans) == 0 {
		delete(a.targets, e.Target)
	}
	return []Change{DeleteShare(e)}
}

func (a *Allocator) targetReported(now view.Time, rev view.Revision, e TargetReported) []Change {
	t, ok := a.targets[e.Target]
	if !ok || t.Incarnation != e.Incarnation {
		return nil
	}
	changed := false
	for i := range t.Orphans {
		o := &t.Orphans[i]
		taken := now - view.Time(a.options.ReportLag)
		if taken >= o.Since && e.Running < o.Permits {
			o.Permits = e.Running
			changed = true
		}
	}
	if !changed {
		return nil
	}
	t.Orphans = slices.DeleteFunc(t.Orphans, func(o orphan) bool { return o.Permits == 0 })
	return a.rebalance(t, now, rev)
}
