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
		t.Bound, t.StepSince, t.StepProof, t.FellAt = t.Cold, now, 0, rev
		if a.options.Unsafe.SkipRamp {
			t.Bound = t.Max
		}
		return a.spread(t, now, rev)
	}
	if t.Bound <= t.Max {
		return nil
	}
	t.Bound = t.Max
	return a.spread(t, now, rev)
}

// targetGone remembers what may still run, for the case that the same
// incarnation takes work again.
func (a *Allocator) targetGone(now view.Time, rev view.Revision, e TargetDown) []Change {
	t, ok := a.targets[e.Target]
	if !ok || !t.Up {
		return nil
	}
	t.Up = false
	for _, h := range slices.Clone(t.Holdings) {
		t.abandon(orphan{Gate: h.Gate, Incarnation: a.gates[h.Gate], Revision: rev, Since: now})
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
