package permit

import (
	"github.com/sesamemux/sesamemux/pkg/view"
)

func (a *Allocator) gateSeen(now view.Time, rev view.Revision, e GateSeen) []Change {
	before, known := a.gates[e.Gate]
	if known && before == e.Incarnation {
		return nil
	}
	a.gates[e.Gate] = e.Incarnation
	delete(a.leaving, e.Gate)
	a.generation++
	replaced := orphan{Gate: e.Gate, Incarnation: before, Revision: rev, Since: now + view.Time(a.options.LeaseTime)}
	var changes []Change
	for _, t := range a.sorted() {
		held := known && t.abandon(replaced)
		if held || t.unpublished() > 0 || a.options.Sharing != SharingDemand {
			changes = append(changes, a.spread(t, now, rev)...)
		}
	}
	return changes
}

func (a *Allocator) gateGone(now view.Time, rev view.Revision, e GateGone) []Change {
	current := a.gates[e.Gate] == e.Incarnation
	if current {
		delete(a.gates, e.Gate)
		delete(a.leaving, e.Gate)
		a.generation++
	}
	lost := orphan{Gate: e.Gate, Incarnation: e.Incarnation, Revision: rev, Since: now}
	var changes []Change
	for _, t := range a.sorted() {
		held := current && t.abandon(lost)
		t.lapse(e, now)
		if a.options.Unsafe.IgnoreOrphans {
			t.Orphans = nil
		}
		if held {
			changes = append(changes, a.spread(t, now, rev)...)
		}
	}
	return changes
}

// lapse starts the time of orphan parts whose lease could still be valid.
func (t *target) lapse(e GateGone, now view.Time) {
	for i := range t.Orphans {
		o := &t.Orphans[i]
		if o.Gate == e.Gate && o.Incarnation == e.Incarnation {
			o.Since = min(o.Since, now)
		}
	}
}
