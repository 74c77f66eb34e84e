package coordinator

import (
	"maps"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/ratelimit"
)

// upstreamLimits are the limits that upstreams name, as entry hosts report them.
type upstreamLimits struct {
	statements map[string]ratelimit.Statement // by upstream ID
	shares     map[string]map[string]float64  // as divided last, by upstream ID and process
	inherited  map[string]map[string]float64  // as the former leader divided last
	revision   uint64                         // increases with each change that entry hosts must learn of soon
}

// record takes over the newest statements of a process. It reports whether others must learn of them.
func (l *upstreamLimits) record(now time.Duration, reported map[string]control.FleetLimit) bool {
	before := l.revision
	for id, r := range reported {
		s, known := r.Statement(now), l.statements[id]
		if _, ok := l.statements[id]; ok && (r.Heard || s.At <= known.At) {
			continue
		}
		if known.Changes(s) {
			l.revision++
		}
		if l.statements == nil {
			l.statements = map[string]ratelimit.Statement{}
		}
		l.statements[id] = s
	}
	return l.revision != before
}

// inherit takes over how the former leader has divided the limits.
func (l *upstreamLimits) inherit(told map[string]control.FleetLimit) {
	l.inherited = map[string]map[string]float64{}
	for id, limit := range told {
		if len(limit.Shares) > 0 {
			l.inherited[id] = limit.Shares
		}
	}
}

// divide returns the part of a limit for each process. missing is the number of entry hosts that a new
// leader has not heard of yet, and that may be using what the former leader gave them: meanwhile its
// division stays.
func (l *upstreamLimits) divide(id string, perSecond float64, wanted map[string]float64, missing int) map[string]float64 {
	inherited, before := l.inherited[id], l.shares[id]
	switch {
	case missing > 0 && inherited != nil:
		return inherited
	case before == nil:
		before = inherited
	}
	shares := ratelimit.Apportion(perSecond, wanted, before)
	for name := range shares {
		shares[name] *= float64(len(wanted)) / float64(len(wanted)+max(missing, 0))
	}
	return shares
}

// expire forgets upstreams that are gone, and limits that ended long ago.
func (l *upstreamLimits) expire(now time.Duration, registry *fleet.Registry) {
	maps.DeleteFunc(l.statements, func(id string, s ratelimit.Statement) bool {
		u := registry.Get(id)
		return u == nil || u.State == fleet.Gone || !s.Told(now)
	})
}

// recordLimits takes over the limits that a process reports.
func (c *Coordinator) recordLimits(req control.FleetSyncRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch l, f := c.leadership, c.following; {
	case l != nil && l.limits.record(c.now(), req.Limits):
		l.notifyChange()
	case l == nil && f != nil && f.limits.record(c.now(), req.Limits):
		c.requestReport(true)
	}
}

// limitsFor returns the limits in force with the share of each process. missing is the number of entry hosts
// that this leader has not heard of yet. The caller holds the lock.
func (c *Coordinator) limitsFor(now time.Duration, l *leadership, missing int) map[string]control.FleetLimit {
	l.limits.expire(now, c.registry)
	if len(l.limits.statements) == 0 {
		return nil
	}
	limits := make(map[string]control.FleetLimit, len(l.limits.statements))
	shares := map[string]map[string]float64{}
	for id, s := range l.limits.statements {
		limit := control.NewFleetLimit(now, s)
		wanted, total := map[string]float64{}, 0.0
		for name, p := range l.processes {
			if p.request.EntryHost && now-p.receivedAt <= processTimeout {
				wanted[name] = p.request.Limits[id].Wanted
				total += wanted[name]
			}
		}
		if s.Limited && total > 0 {
			limit.Shares = l.limits.divide(id, s.PerSecond, wanted, missing)
			shares[id] = limit.Shares
		}
		limits[id] = limit
	}
	l.limits.shares = shares
	return limits
}
