package coordinator

import (
	"context"
	"errors"
	"syscall"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// suspected takes an entry host's word that a head went silent: all members of
// its group are asked at once.
func (c *Coordinator) suspected(ctx context.Context, req control.FleetSuspectRequest) (struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.leads
	if l == nil {
		return struct{}{}, notLeader("")
	}
	c.metrics.Suspicions.Inc()
	if p := l.syncs[req.Process]; p != nil {
		// Its earlier word that the head sends does not hold any more.
		p.last.Progress = without(p.last.Progress, req.Head)
	}
	members := l.planner.GroupMembers(req.Head)
	c.cfg.Logger.Info("head went silent", "told_by", req.Process, "head", req.Head, "silent_ms", req.SilentMS,
		"refused", req.Refused, "members", len(members))
	for _, u := range members {
		c.probe(context.WithoutCancel(ctx), l, u, "its head went silent")
	}
	return struct{}{}, nil
}

func without(ids []string, id string) []string {
	var rest []string
	for _, v := range ids {
		if v != id {
			rest = append(rest, v)
		}
	}
	return rest
}

// probe asks a host whether it is there. One that refuses connections, or
// does not answer twice while no entry host sees its group work, is dead. The
// caller holds the lock.
func (c *Coordinator) probe(ctx context.Context, l *leadership, u fleet.Upstream, reason string) {
	if l.probing[u.ID] {
		return
	}
	l.probing[u.ID] = true
	go func() {
		err := c.ask(ctx, u)
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			err = c.ask(ctx, u)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(l.probing, u.ID)
		head := l.planner.HeadOf(u.ID)
		works := err != nil && head != "" && c.works(l, head)
		c.cfg.Logger.Info("host probed", "host_id", u.ID, "reason", reason, "answers", err == nil, "cause", err, "group_works", works)
		if err == nil || works {
			return
		}
		l.planner.Dead(u.ID)
		c.metrics.Dead.Inc()
		c.event()
	}()
}

func (c *Coordinator) ask(ctx context.Context, u fleet.Upstream) error {
	asking, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.cfg.Engines.Probe(asking, u)
}

// works tells whether an entry host lately got something from a head. The
// caller holds the lock.
func (c *Coordinator) works(l *leadership, head string) bool {
	now := c.now()
	for _, p := range l.syncs {
		if now-p.at > progressAge {
			continue
		}
		for _, id := range p.last.Progress {
			if id == head {
				return true
			}
		}
	}
	return false
}
