package entry

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// applySync applies a coordinator's sync result to the balancer. own is the usage that was reported
// with the call. It returns the addresses of removed upstreams.
func (b *balancer) applySync(now time.Duration, result control.FleetSyncResult, own localUsage, newer bool) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var removed []string
	named := map[string]bool{}
	for _, u := range result.Upstreams {
		named[u.ID] = true
		b.applyUpstream(now, u)
	}
	if newer {
		b.markReturnedCold(now, result.Evacuated)
		b.evacuatedZones = map[string]bool{}
		for _, zone := range result.Evacuated {
			b.evacuatedZones[zone] = true
		}
		for _, d := range result.Departures {
			if t := b.targets[d.ID]; t != nil && t.StartedMS == d.StartedMS {
				t.State = fleet.LaterState(t.State, d.State())
			}
		}
	}
	for id, t := range b.targets {
		if result.Full {
			t.missing = missingSince(now, t.missing, named[id])
		}
		gone := t.State == fleet.Gone || t.missing != 0 && result.Converged && now-t.missing > missingTimeout
		if gone && t.own.requests+t.hosted.requests == 0 {
			removed = append(removed, t.Address)
			delete(b.targets, id)
			continue
		}
		t.others = max(result.Running[id]-own.running[id], 0)
		t.othersPendingPrompts = max(result.AwaitingFirstEvent[id]-own.pendingPrompts[id], 0)
	}
	b.entryHosts = max(b.census.Hear(now, result.SessionOfLeader(), result.EntryHosts), 1)
	b.applyLimits(now, result.Limits)
	return removed
}

func missingSince(now, since time.Duration, named bool) time.Duration {
	switch {
	case named:
		return 0
	case since == 0:
		return now
	}
	return since
}

// markReturnedCold marks upstreams as possibly cold if their failure domain is no longer evacuated.
func (b *balancer) markReturnedCold(now time.Duration, evacuated []string) {
	for _, t := range b.targets {
		if b.evacuatedZones[t.Zone] && !slices.Contains(evacuated, t.Zone) {
			t.coldUntil = now + evacuationColdTime
		}
	}
}

// applyUpstream applies the record of an upstream, which includes how long it stays cold.
func (b *balancer) applyUpstream(now time.Duration, u fleet.Upstream) {
	t := b.targets[u.ID]
	if t == nil {
		if u.State != fleet.Gone {
			t = &target{Upstream: u, slowness: 1}
			t.applyWarmup(now, u)
			b.targets[u.ID] = t
		}
		return
	}
	same := u.StartedMS == t.StartedMS && u.Sequence == t.Sequence
	if !same && !u.NewerThan(&t.Upstream) {
		return
	}
	if u.StartedMS == t.StartedMS {
		u.State = fleet.LaterState(t.State, u.State)
	}
	if u.StartedMS != t.StartedMS {
		t.consecutiveFailures, t.errorRate, t.slowness = 0, 0, 1
		t.suspectUntil, t.backoffUntil, t.rejectedUntil = 0, 0, 0
		t.unreachable = false
		t.pausedUntil, t.leaving = 0, false
		t.limit = limitState{}
	}
	t.applyWarmup(now, u)
	if u.Assignment == nil || t.Assignment == nil || *u.Assignment != *t.Assignment {
		t.suspectUntil = 0
		t.falseSuspicions = 0
	}
	t.Upstream = u
	t.missing = 0
}
