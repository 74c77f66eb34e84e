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

// limitsFor returns the limits in force with the share of each process. The caller holds the lock.
func (c *Coordinator) limitsFor(now time.Duration, l *leadership) map[string]control.FleetLimit {
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
			limit.Shares = ratelimit.Apportion(s.PerSecond, wanted, l.limits.shares[id])
			shares[id] = limit.Shares
		}
		limits[id] = limit
	}
	l.limits.shares = shares
	return limits
}
