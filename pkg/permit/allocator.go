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
	case TargetGone:
		return a.targetGone(now, rev, e)
	case UseReported:
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
		if a.options.Unguarded.IgnoreAge {
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
func (a *Allocator) targetGone(now view.Time, rev view.Revision, e TargetGone) []Change {
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
		if a.options.Unguarded.ForgetOrphans {
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

func (a *Allocator) useReported(now view.Time, rev view.Revision, e UseReported) []Change {
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

func (a *Allocator) use(t *target, now view.Time, rev view.Revision, e UseReported, u view.TargetUse) []Change {
	h := t.holding(e.Gate)
	before, queued := h.Exposed, h.Queued
	reclaimed := a.reclaim(t, h, u)
	h.InFlight, h.Queued = u.InFlight, u.Queued
	t.prove(h, u)
	h.settle(u, e.Final)
	if u.Suspect && u.InForce >= t.FellAt && !a.options.Unguarded.IgnoreSuspicion {
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

func (a *Allocator) ticked(now view.Time, rev view.Revision) []Change {
	var changes []Change
	for _, t := range a.sorted() {
		expired := t.expireOrphans(now, a.options.MaxRequestTime)
		if !t.Up {
			if len(t.Orphans) == 0 {
				delete(a.targets, t.ID)
			}
			continue
		}
		if t.grow(now) {
			changes = append(changes, a.spread(t, now, rev)...)
			continue
		}
		if expired || t.waits() {
			changes = append(changes, a.rebalance(t, now, rev)...)
		}
	}
	return changes
}

// waits tells whether a gate has work waiting for the target.
func (t *target) waits() bool {
	return slices.ContainsFunc(t.Holdings, func(h holding) bool { return h.Queued > 0 })
}

// rebalance moves permits to where work waits, if that is worth a change.
func (a *Allocator) rebalance(t *target, now view.Time, rev view.Revision) []Change {
	if !t.Up {
		return nil
	}
	free, due := t.free() > 0, now-t.LookedAt >= view.Time(a.options.RebalanceInterval)
	if !free && !due {
		return nil
	}
	desired := a.desired(t)
	if free && a.raiseTo(t, desired) {
		return []Change{PutShare{Share: t.share()}}
	}
	if !due {
		return nil
	}
	t.LookedAt = now
	if !t.worthMoving(desired) {
		return nil
	}
	return a.publish(t, desired, rev)
}

// spread divides the bound anew.
func (a *Allocator) spread(t *target, now view.Time, rev view.Revision) []Change {
	if !t.Up {
		return nil
	}
	t.LookedAt = now
	a.publish(t, a.desired(t), rev)
	return []Change{PutShare{Share: t.share()}}
}

func (a *Allocator) publish(t *target, desired map[view.GateName]int, rev view.Revision) []Change {
	lowered := t.lowerTo(desired, rev)
	raised := a.raiseTo(t, desired)
	if !lowered && !raised {
		return nil
	}
	return []Change{PutShare{Share: t.share()}}
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
