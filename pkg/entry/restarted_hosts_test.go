package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// Many entry hosts that are killed and started again within a second used their parts of the bound twice.
func TestColdBoundHoldsWhileEntryHostsRestart(t *testing.T) {
	service := &catalog.Service{Name: "plain", WarmupPerSecond: 28}
	const (
		bound  = 28*1.5 + 5
		coldAt = 2 * time.Minute
	)
	u := fleet.Upstream{ID: "u", Service: "plain", Slots: 500, State: fleet.Ready, StartedMS: 1, Sequence: 1, WarmupMS: 3000}
	for _, entries := range []int{3, 9, 30, 77} {
		starts := 0
		start := func(host int, at, synced time.Duration) *balancer {
			b := newBalancer(Config{Name: fmt.Sprintf("entry-%d", host), ColdFactor: 1.5, ColdSlack: 5})
			b.startedAt = at
			b.applySync(synced, control.FleetSyncResult{Session: "l", LeaderSession: "l", Full: true, Upstreams: []fleet.Upstream{u}, EntryHosts: entries}, localUsage{}, true)
			return b
		}
		send := func(b *balancer, now time.Duration) {
			for range 50 {
				if _, why := b.choose(now, placementRequest{service: service}); why == noReason {
					starts++
				}
			}
		}
		for host := range entries {
			send(start(host, time.Minute, coldAt), coldAt)
			if host%2 == 0 { // killed behind its requests, back after half a second
				back := coldAt + 500*time.Millisecond
				send(start(host, back, back), coldAt+999*time.Millisecond)
			}
		}
		if starts > bound {
			t.Errorf("%d entry hosts send %d requests in a second, %.0f are allowed", entries, starts, float64(bound))
		}
		before := starts
		b := start(0, coldAt, coldAt)
		b.entryHosts = 1
		if send(b, coldAt+boundWindow); starts == before {
			t.Error("a restarted entry host sends nothing after a second")
		}
	}
}
