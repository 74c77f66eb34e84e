package permit

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

func (a *Allocator) ticked(now view.Time, rev view.Revision) []Change {
	var changes []Change
	for _, t := range a.sortedTargets() {
		expired := t.expireOrphans(now, a.options.MaxRequestTime)
		if !t.Up {
			if len(t.Orphans) == 0 {
				delete(a.targets, t.ID)
			}
			continue
		}
		if t.doubleBound(now) {
			changes = append(changes, a.redistribute(t, now, rev)...)
			continue
		}
		if expired || t.hasQueued() {
			changes = append(changes, a.rebalance(t, now, rev)...)
		}
	}
	return changes
}

// hasQueued reports whether a gate has requests queued for the target.
func (t *target) hasQueued() bool {
	return slices.ContainsFunc(t.Holdings, func(h holding) bool { return h.Queued > 0 })
}

// rebalance moves permits to gates with queued requests, if the change is large
// enough to be published.
func (a *Allocator) rebalance(t *target, now view.Time, rev view.Revision) []Change {
	if !t.Up {
		return nil
	}
	free, due := t.free() > 0, now-t.CheckedAt >= view.Time(a.options.RebalanceInterval)
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
	t.CheckedAt = now
	if !t.worthMoving(desired) {
		return nil
	}
	return a.publish(t, desired, rev)
}

// redistribute divides the bound again and publishes the share in any case.
func (a *Allocator) redistribute(t *target, now view.Time, rev view.Revision) []Change {
	if !t.Up {
		return nil
	}
	t.CheckedAt = now
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
