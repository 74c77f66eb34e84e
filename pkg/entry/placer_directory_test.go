package entry

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// placerHarness is a set of entry hosts of which the first places all requests.
type placerHarness struct {
	*harness
	gateways []*Gateway
	server   *rpc.Server
}

func newPlacerHarness(t *testing.T, entries int, upstreams map[string]answerFunc) *placerHarness {
	b := &placerHarness{harness: newHarness(t, upstreams), server: rpc.NewServer()}
	b.gateways = []*Gateway{b.gateway}
	for i := 1; i < entries; i++ {
		b.gateways = append(b.gateways, b.newGateway(fmt.Sprintf("e%d", i+1), logging.Discard()))
	}
	b.gateway.Register(b.server)
	l := b.network.Listen("e1", "e1:9")
	go func() { _ = b.server.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		b.server.Close()
		time.Sleep(time.Second) // let queued updates be sent
	})
	for _, g := range b.gateways {
		g.applyPlacers(map[string]string{"m": "e1:9"})
	}
	return b
}

// headTarget returns a copy of an entry host's state about head1.
func headTarget(g *Gateway) *target {
	g.balancer.mu.Lock()
	defer g.balancer.mu.Unlock()
	t := *g.balancer.targets["head1"]
	return &t
}

// delayedHead answers after a delay.
func delayedHead(d time.Duration) answerFunc {
	answer := streamFrom(1, 1, "s", nil)
	return func(c net.Conn, r *http.Request, attempt string) bool {
		time.Sleep(d)
		return answer(c, r, attempt)
	}
}

// As many concurrent requests as heads arrive at different entry hosts. Each head gets exactly one,
// so that none waits for the prompt of another.
func TestPlacerSpreadsConcurrentRequestsOverHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heads := map[string]answerFunc{}
		for i := range 4 {
			heads[fmt.Sprintf("head%d", i)] = delayedHead(100 * time.Millisecond)
		}
		b := newPlacerHarness(t, 4, heads)
		for round := range 5 {
			var sent sync.WaitGroup
			for _, g := range b.gateways {
				sent.Go(func() { b.sendTo(g, "POST", "/stream/1", "p", nil) })
			}
			sent.Wait()
			for id := range heads {
				if got := len(b.requests[id]); got != round+1 {
					t.Errorf("round %d: %s had %d requests", round, id, got)
				}
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// No entry host counts a request after it ended.
func TestPlacementsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPlacerHarness(t, 2, map[string]answerFunc{"head1": delayedHead(50 * time.Millisecond)})
		for range 3 {
			b.sendTo(b.gateways[1], "POST", "/stream/1", "p", nil)
			time.Sleep(time.Second)
		}
		if n := b.total(); n != 3 {
			t.Errorf("%d of 3 requests were served", n)
		}
		for i, g := range b.gateways {
			if x := headTarget(g); x.total() != 0 || x.pendingPrompts() != 0 || x.hosted != (requestCounts{}) || x.remotelyCounted != (requestCounts{}) || x.own != (requestCounts{}) {
				t.Errorf("entry host %d still counts own %v placed %v hosted %v", i, x.own, x.remotelyCounted, x.hosted)
			}
		}
		if left := b.gateway.hosted.removeExpired(b.gateway.now() + time.Hour); len(left) != 0 {
			t.Errorf("the placer holds %d places", len(left))
		}
	})
}

// Placements of an entry host that crashed must not occupy the heads permanently.
func TestPlacementsOfALostEntryHostExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPlacerHarness(t, 2, map[string]answerFunc{"head1": delayedHead(20 * time.Second)})
		go b.sendTo(b.gateways[1], "POST", "/stream/1", "p", nil)
		time.Sleep(50 * time.Millisecond)
		b.network.Kill("e2")
		if got := headTarget(b.gateway).total(); got != 1 {
			t.Fatalf("%d requests are counted, want 1", got)
		}
		time.Sleep(4 * time.Second)
		b.gateway.expirePlacements(b.gateway.now())
		if got := headTarget(b.gateway).total(); got != 0 {
			t.Errorf("%d requests are counted after the request's time", got)
		}
		b.network.Kill("head1")
		time.Sleep(time.Minute)
	})
}

// A placer that is gone or does not answer delays one request briefly; afterwards entry hosts
// choose upstreams locally.
func TestUnresponsivePlacerDelaysOneRequestBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPlacerHarness(t, 2, map[string]answerFunc{"head1": streamFrom(1, 1, "s", nil)})
		b.network.Kill("e1")
		for i, most := range []time.Duration{placementTimeout + 40*time.Millisecond, 40 * time.Millisecond} {
			began := time.Now()
			if w := b.sendTo(b.gateways[1], "POST", "/stream/1", "p", nil); w.status != http.StatusOK {
				t.Errorf("request %d: %d", i, w.status)
			}
			if took := time.Since(began); took > most {
				t.Errorf("request %d took %v, want at most %v", i, took, most)
			}
		}
	})
}

// After a change of the placer, running requests are counted by their own entry host and the former
// placer releases them.
func TestChangeOfPlacerKeepsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPlacerHarness(t, 2, map[string]answerFunc{"head1": delayedHead(time.Second)})
		go b.sendTo(b.gateways[1], "POST", "/stream/1", "p", nil)
		time.Sleep(100 * time.Millisecond)
		if n := b.gateways[1].balancer.localUsage(b.gateways[1].now()).running["head1"]; n != 0 {
			t.Errorf("the entry host reports %d requests that the placer counts", n)
		}
		b.gateways[1].applyPlacers(map[string]string{"m": "e2:9"})
		time.Sleep(100 * time.Millisecond)
		if n := b.gateways[1].balancer.localUsage(b.gateways[1].now()).running["head1"]; n != 1 {
			t.Errorf("the entry host reports %d requests, want 1", n)
		}
		if n := headTarget(b.gateway).hosted.requests; n != 0 {
			t.Errorf("the former placer still counts %d requests", n)
		}
		time.Sleep(2 * time.Second)
		if n := headTarget(b.gateways[1]).total(); n != 0 {
			t.Errorf("%d requests are still counted at the end", n)
		}
	})
}

// Requests for a cold head arrive in a burst at its placer, at entry hosts that can't reach the
// placer, and at one that replaces it.
func TestColdBoundHoldsWithPlacers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, entries := range []int{3, 9, 77} {
			service := testSet().Services[1]
			service.WarmupPerSecond = 28
			bound := 28*1.5 + 5
			starts := 0
			for e := range entries {
				b := newBalancer(Config{Name: fmt.Sprintf("entry-%d", e), ColdFactor: 1.5, ColdSlack: 5})
				b.entryHosts = entries
				u := headRecord("head1")
				u.WarmupMS = 3000
				b.applyUpstream(time.Minute, u)
				service.Engine.Slots = 1000
				for range 100 {
					if p, _ := b.choose(time.Minute+time.Second, placementRequest{service: &service, model: "m", localPlacer: e < 2}); p != nil {
						starts++
					}
				}
			}
			if float64(starts) > bound {
				t.Errorf("%d entry hosts: %d requests in a second, the limit is %.0f", entries, starts, bound)
			}
		}
	})
}

// queueingHead serves a number of streams concurrently and queues the others.
func queueingHead(slots, events int) answerFunc {
	places := make(chan struct{}, slots)
	answer := streamFrom(events, events, "s", nil)
	return func(c net.Conn, r *http.Request, attempt string) bool {
		places <- struct{}{}
		defer func() { <-places }()
		return answer(c, r, attempt)
	}
}

// Twice the capacity of a head arrives for ten seconds. Requests that are served must be on time
// and the head must never be idle; a queue that stays full would delay all of them.
func TestServedRequestsMeetTheirDeadlineUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, events = 20, 50 // 20 ms per event
		b := newPlacerHarness(t, 1, map[string]answerFunc{"head1": queueingHead(slots, events)})
		set := testSet()
		set.Services[1].Engine.Slots = slots
		set.Services[1].WarmupPerSecond = 0
		b.gateway.index.Store(catalog.NewIndex(set))
		var mu sync.Mutex
		served, inTime, refused := 0, 0, 0
		var sent sync.WaitGroup
		for range 400 {
			sent.Go(func() {
				began := time.Now()
				w := b.sendTo(b.gateway, "POST", "/stream/1", "p", nil)
				took := time.Since(began)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case w.status != http.StatusOK:
					refused++
				case took <= events*20*time.Millisecond+300*time.Millisecond:
					served++
					inTime++
				default:
					served++
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
		sent.Wait()
		if served < 160 || inTime < served*6/10 {
			t.Errorf("%d served, %d of them on time, %d refused", served, inTime, refused)
		}
		time.Sleep(time.Minute)
	})
}
