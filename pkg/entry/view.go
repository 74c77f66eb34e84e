package entry

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// take brings a coordinator's news into the balancer. own is what was told with
// the question. It returns the addresses of upstreams that are gone.
func (b *balancer) take(now time.Duration, result control.FleetSyncResult, own told, newer bool) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var left []string
	named := map[string]bool{}
	for _, u := range result.Upstreams {
		named[u.ID] = true
		b.takeUpstream(now, u)
	}
	if newer {
		b.takenBack(now, result.Evacuated)
		b.evacuate = map[string]bool{}
		for _, zone := range result.Evacuated {
			b.evacuate[zone] = true
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
		gone := t.State == fleet.Gone || t.missing != 0 && result.Converged && now-t.missing > missingFor
		if gone && t.own.requests+t.hosted.requests == 0 {
			left = append(left, t.Address)
			delete(b.targets, id)
			continue
		}
		t.others = max(result.Running[id]-own.running[id], 0)
		t.othersUn = max(result.AwaitingFirstEvent[id]-own.unread[id], 0)
	}
	b.entries = max(result.EntryHosts, 1)
	return left
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

// takenBack notes that the upstreams of failure domains that are not evacuated
// any more may be cold.
func (b *balancer) takenBack(now time.Duration, evacuated []string) {
	for _, t := range b.targets {
		if b.evacuate[t.Zone] && !slices.Contains(evacuated, t.Zone) {
			t.coldUntil = now + coldFor
		}
	}
}

// takeUpstream brings the record of an upstream in. An upstream says itself how
// long it stays cold.
func (b *balancer) takeUpstream(now time.Duration, u fleet.Upstream) {
	t := b.targets[u.ID]
	if t == nil {
		if u.State != fleet.Gone {
			t = &target{Upstream: u, slowness: 1}
			t.cold(now, u)
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
		t.failures, t.errorRate, t.slowness = 0, 0, 1
		t.suspectUntil, t.backoffUntil = 0, 0
	}
	t.cold(now, u)
	if u.Assignment == nil || t.Assignment == nil || *u.Assignment != *t.Assignment {
		t.suspectUntil = 0
		t.alarms = 0
	}
	t.Upstream = u
	t.missing = 0
}
