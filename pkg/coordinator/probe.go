package coordinator

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
)

// handleSuspect processes an entry host's report that a head stopped sending: all members of its
// group are probed at once.
func (c *Coordinator) handleSuspect(ctx context.Context, req control.FleetSuspectRequest) (struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.leadership
	if l == nil {
		return struct{}{}, notLeader("")
	}
	c.metrics.Suspicions.Inc()
	members := l.planner.GroupMembers(req.Head)
	c.cfg.Logger.Info("head went silent", "told_by", req.Process, "head", req.Head, "silent_ms", req.SilentMS,
		"refused", req.Refused, "members", len(members))
	for _, u := range members {
		c.probe(context.WithoutCancel(ctx), l, u, "head of its group went silent")
	}
	return struct{}{}, nil
}

// probe checks in the background whether a host is alive. A host that refuses connections, or fails
// to answer two probes, is dead unless an entry host has received data from its group since the
// probe began. The caller holds the lock.
func (c *Coordinator) probe(ctx context.Context, l *leadership, u fleet.Upstream, reason string) {
	if at, answered := l.probeAnswers[u.ID]; l.probing[u.ID] || answered && c.now()-at < probeAnswerTTL {
		return
	}
	l.probing[u.ID] = true
	began := c.now()
	go func() {
		result, err := c.probeOnce(ctx, u)
		if result != formation.Answered && result != formation.Refused {
			result, err = c.probeOnce(ctx, u)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(l.probing, u.ID)
		answers := result == formation.Answered
		if answers {
			l.probeAnswers[u.ID] = c.now()
		}
		head := l.planner.HeadOf(u.ID)
		progressing := !answers && head != "" && c.progressSince(l, head, began)
		c.cfg.Logger.Info("host probed", "host_id", u.ID, "reason", reason, "answers", answers, "outcome", result, "cause", err, "group_works", progressing)
		if answers || progressing {
			return
		}
		l.planner.MarkDead(u.ID)
		c.metrics.DeadHosts.Inc()
		c.requestDecision()
	}()
}

func (c *Coordinator) probeOnce(ctx context.Context, u fleet.Upstream) (formation.ProbeResult, error) {
	asking, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.cfg.Engines.Probe(asking, u)
}

// progressSince reports whether an entry host has received data from a head since the given time.
// The caller holds the lock.
func (c *Coordinator) progressSince(l *leadership, head string, since time.Duration) bool {
	for _, p := range l.processes {
		age, told := p.request.SinceLastEventMS[head]
		if told && p.receivedAt-time.Duration(age)*time.Millisecond > since {
			return true
		}
	}
	return false
}
