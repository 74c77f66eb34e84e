package coordinator

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/formation"
)

// handleSuspect processes an entry host's report that a head stopped sending: all members of its
// group are probed at once.
func (c *Coordinator) handleSuspect(ctx context.Context, req control.FleetSuspectRequest) (struct{}, error) {
	c.mu.Lock()
	l := c.leadership
	if l == nil {
		forward, first := c.following != nil, c.following.suspectedFirst(c.now(), req.Head)
		c.mu.Unlock()
		return struct{}{}, c.forwardSuspect(ctx, req, forward, first)
	}
	defer c.mu.Unlock()
	c.metrics.Suspicions.Inc()
	members := l.planner.GroupMembers(req.Head)
	c.cfg.Logger.Info("head went silent", "told_by", req.Process, "head", req.Head, "silent_ms", req.SilentMS,
		"refused", req.Refused, "members", len(members))
	for _, u := range members {
		c.probe(context.WithoutCancel(ctx), l, u, "head of its group went silent")
	}
	return struct{}{}, nil
}

// forwardSuspect passes the first of several reports about a head on to the leader.
func (c *Coordinator) forwardSuspect(ctx context.Context, req control.FleetSuspectRequest, follows, first bool) error {
	switch {
	case !follows:
		return notLeader(c.leaderAddress())
	case !first:
		return nil
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var none struct{}
	return c.toRPCError(c.callLeader(calling, control.MethodFleetSuspect, req, &none))
}

// suspectedFirst reports whether no entry host that is answered here has reported a head lately.
func (f *following) suspectedFirst(now time.Duration, head string) bool {
	if f == nil {
		return false
	}
	if at, known := f.suspected[head]; known && now-at < suspectInterval {
		return false
	}
	for h, at := range f.suspected {
		if now-at >= suspectInterval {
			delete(f.suspected, h)
		}
	}
	f.suspected[head] = now
	return true
}

// probe checks in the background whether a host is alive; see formation.HostCheck. A host that seems
// lost is kept while an entry host has received data from its group since the check began. The
// caller holds the lock.
func (c *Coordinator) probe(ctx context.Context, l *leadership, u fleet.Upstream, reason string) {
	if at, answered := l.probeAnswers[u.ID]; l.probing[u.ID] || answered && c.now()-at < probeAnswerTTL {
		return
	}
	l.probing[u.ID] = true
	check := formation.NewHostCheck(c.now())
	go func() {
		for {
			started := c.now()
			result, err := c.probeOnce(ctx, u)
			if !c.recordProbe(ctx, l, check, probeOutcome{u, reason, result, err}) {
				return
			}
			if result == formation.Silent {
				clock.Sleep(ctx, started+formation.SilentProbeInterval-c.now())
			}
		}
	}()
}

// probeOutcome is how a probe ended.
type probeOutcome struct {
	host   fleet.Upstream
	reason string
	result formation.ProbeResult
	err    error
}

// recordProbe records a probe and reports whether the check of the host goes on.
func (c *Coordinator) recordProbe(ctx context.Context, l *leadership, check *formation.HostCheck, o probeOutcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	verdict := check.Record(o.result)
	head := l.planner.HeadOf(o.host.ID)
	progressing := verdict != formation.HostAlive && head != "" && c.progressSince(l, head, check.Began())
	workingAgain := progressing && o.result == formation.Silent
	goesOn := verdict == formation.HostUnclear && !workingAgain && ctx.Err() == nil && c.leadership == l
	if l.setSilent(o.host.ID, goesOn && o.result == formation.Silent) {
		c.requestDecision()
	}
	if goesOn {
		return true
	}
	delete(l.probing, o.host.ID)
	c.cfg.Logger.Info("host probed", "host_id", o.host.ID, "reason", o.reason, "answers", verdict == formation.HostAlive, "outcome", o.result,
		"ms", (now - check.Began()).Milliseconds(), "cause", o.err, "group_works", progressing)
	switch {
	case verdict == formation.HostAlive:
		l.probeAnswers[o.host.ID] = now
	case verdict == formation.HostLost && !progressing:
		l.planner.MarkDead(o.host.ID)
		c.metrics.DeadHosts.Inc()
		c.requestDecision()
	}
	return false
}

// setSilent records whether a host accepts connections but does not answer, and reports whether that
// changed. The caller holds the lock.
func (l *leadership) setSilent(id string, silent bool) bool {
	changed := l.silentHosts[id] != silent
	if silent {
		l.silentHosts[id] = true
	} else {
		delete(l.silentHosts, id)
	}
	return changed
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
		age, told := p.usage.SinceLastEventMS[head]
		if told && p.usage.at-time.Duration(age)*time.Millisecond > since {
			return true
		}
	}
	return false
}
