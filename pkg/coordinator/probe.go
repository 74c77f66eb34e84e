package coordinator

import (
	"context"
	"errors"
	"syscall"
	"time"

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
	members := l.planner.GroupMembers(req.Head)
	c.cfg.Logger.Info("head went silent", "told_by", req.Process, "head", req.Head, "silent_ms", req.SilentMS,
		"refused", req.Refused, "members", len(members))
	for _, u := range members {
		c.probe(context.WithoutCancel(ctx), l, u, "its head went silent")
	}
	return struct{}{}, nil
}

// probe asks a host whether it is there. One that refuses connections, or
// does not answer twice while no entry host sees its group work, is dead. The
// caller holds the lock.
func (c *Coordinator) probe(ctx context.Context, l *leadership, u fleet.Upstream, reason string) {
	if at, answered := l.answers[u.ID]; l.probing[u.ID] || answered && c.now()-at < answerAge {
		return
	}
	l.probing[u.ID] = true
	began := c.now()
	go func() {
		err := c.ask(ctx, u)
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			err = c.ask(ctx, u)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(l.probing, u.ID)
		if err == nil {
			l.answers[u.ID] = c.now()
		}
		head := l.planner.HeadOf(u.ID)
		works := err != nil && head != "" && c.worksSince(l, head, began)
		c.cfg.Logger.Info("host probed", "host_id", u.ID, "reason", reason, "answers", err == nil, "cause", err, "group_works", works)
		if err == nil || works {
			return
		}
		l.planner.MarkDead(u.ID)
		c.metrics.DeadHosts.Inc()
		c.event()
	}()
}

func (c *Coordinator) ask(ctx context.Context, u fleet.Upstream) error {
	asking, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.cfg.Engines.Probe(asking, u)
}

// worksSince tells whether an entry host got something from a head after a
// moment. The caller holds the lock.
func (c *Coordinator) worksSince(l *leadership, head string, since time.Duration) bool {
	for _, p := range l.syncs {
		age, told := p.last.SinceLastEventMS[head]
		if told && p.at-time.Duration(age)*time.Millisecond > since {
			return true
		}
	}
	return false
}
