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

// placedBench is some entry hosts of which the first places all requests.
type placedBench struct {
	*bench
	gates  []*Gateway
	server *rpc.Server
}

func newPlacedBench(t *testing.T, entries int, upstreams map[string]answerFunc) *placedBench {
	b := &placedBench{bench: newBench(t, upstreams), server: rpc.NewServer()}
	b.gates = []*Gateway{b.gate}
	for i := 1; i < entries; i++ {
		b.gates = append(b.gates, b.newGate(fmt.Sprintf("e%d", i+1), logging.Discard()))
	}
	b.gate.Register(b.server)
	l := b.network.Listen("e1", "e1:9")
	go func() { _ = b.server.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		b.server.Close()
		time.Sleep(time.Second) // what is still to be told
	})
	for _, g := range b.gates {
		g.followPlacers(map[string]string{"m": "e1:9"})
	}
	return b
}

// at returns what an entry host knows of the head head1.
func at(g *Gateway) *target {
	g.balancer.mu.Lock()
	defer g.balancer.mu.Unlock()
	t := *g.balancer.targets["head1"]
	return &t
}

// readFirst is a head that reads for a while before it answers.
func readFirst(d time.Duration) answerFunc {
	answer := streamFrom(1, 1, "s", nil)
	return func(c net.Conn, r *http.Request, attempt string) bool {
		time.Sleep(d)
		return answer(c, r, attempt)
	}
}

// Load: as many requests at one moment as there are heads, each through another
// entry host. None is behind another one's prompt.
func TestPlacedRequestsDoNotMeetAtAHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heads := map[string]answerFunc{}
		for i := range 4 {
			heads[fmt.Sprintf("head%d", i)] = readFirst(100 * time.Millisecond)
		}
		b := newPlacedBench(t, 4, heads)
		for round := range 5 {
			var sent sync.WaitGroup
			for _, g := range b.gates {
				sent.Go(func() { b.sendTo(g, "POST", "/stream/1", "p", nil) })
			}
			sent.Wait()
			for id := range heads {
				if got := len(b.seen[id]); got != round+1 {
					t.Errorf("round %d: %s had %d requests", round, id, got)
				}
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// What ended is not counted any more, by nobody.
func TestPlacesAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPlacedBench(t, 2, map[string]answerFunc{"head1": readFirst(50 * time.Millisecond)})
		for range 3 {
			b.sendTo(b.gates[1], "POST", "/stream/1", "p", nil)
			time.Sleep(time.Second)
		}
		if n := b.total(); n != 3 {
			t.Errorf("%d of 3 requests were served", n)
		}
		for i, g := range b.gates {
			if x := at(g); x.total() != 0 || x.unread() != 0 || x.hosted != (counts{}) || x.placed != (counts{}) || x.own != (counts{}) {
				t.Errorf("entry host %d still counts own %v placed %v hosted %v", i, x.own, x.placed, x.hosted)
			}
		}
		if left := b.gate.placer.expired(b.gate.now() + time.Hour); len(left) != 0 {
			t.Errorf("the placer holds %d places", len(left))
		}
	})
}

// An entry host that ended without a word does not fill the heads for good.
func TestPlacesOfALostEntryHostExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPlacedBench(t, 2, map[string]answerFunc{"head1": readFirst(20 * time.Second)})
		go b.sendTo(b.gates[1], "POST", "/stream/1", "p", nil)
		time.Sleep(50 * time.Millisecond)
		b.network.Kill("e2")
		if got := at(b.gate).total(); got != 1 {
			t.Fatalf("%d requests are counted, want 1", got)
		}
		time.Sleep(4 * time.Second)
		b.gate.expire(b.gate.now())
		if got := at(b.gate).total(); got != 0 {
			t.Errorf("%d requests are counted after the request's time", got)
		}
		b.network.Kill("head1")
		time.Sleep(time.Minute)
	})
}

// A placer that is gone, or answers nothing, delays one request a little; then
// entry hosts choose themselves.
func TestSilentPlacerDelaysLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPlacedBench(t, 2, map[string]answerFunc{"head1": streamFrom(1, 1, "s", nil)})
		b.network.Kill("e1")
		for i, most := range []time.Duration{placeTimeout + 40*time.Millisecond, 40 * time.Millisecond} {
			began := time.Now()
			if w := b.sendTo(b.gates[1], "POST", "/stream/1", "p", nil); w.status != http.StatusOK {
				t.Errorf("request %d: %d", i, w.status)
			}
			if took := time.Since(began); took > most {
				t.Errorf("request %d took %v, want at most %v", i, took, most)
			}
		}
	})
}

// With another placer the requests that run are counted by their own entry host,
// and the former placer forgets them.
func TestChangeOfPlacerKeepsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPlacedBench(t, 2, map[string]answerFunc{"head1": readFirst(time.Second)})
		go b.sendTo(b.gates[1], "POST", "/stream/1", "p", nil)
		time.Sleep(100 * time.Millisecond)
		if n := b.gates[1].balancer.tell(b.gates[1].now()).running["head1"]; n != 0 {
			t.Errorf("the entry host tells of %d requests that the placer counts", n)
		}
		b.gates[1].followPlacers(map[string]string{"m": "e2:9"})
		time.Sleep(100 * time.Millisecond)
		if n := b.gates[1].balancer.tell(b.gates[1].now()).running["head1"]; n != 1 {
			t.Errorf("the entry host tells of %d requests, want 1", n)
		}
		if n := at(b.gate).hosted.requests; n != 0 {
			t.Errorf("the former placer counts %d requests", n)
		}
		time.Sleep(2 * time.Second)
		if n := at(b.gates[1]).total(); n != 0 {
			t.Errorf("%d requests are counted in the end", n)
		}
	})
}

// Load: a burst at a placer, at entry hosts that can't reach it, and at one that
// takes its place, to a head that is cold.
func TestColdBoundHoldsWithPlacers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, entries := range []int{3, 9, 77} {
			service := testSet().Services[1]
			service.WarmupPerSecond = 28
			bound := 28*1.5 + 5
			starts := 0
			for e := range entries {
				b := newBalancer(Config{Name: fmt.Sprintf("entry-%d", e), ColdFactor: 1.5, ColdSlack: 5})
				b.entries = entries
				u := headRecord("head1")
				u.WarmupMS = 3000
				b.takeUpstream(time.Minute, u)
				service.Engine.Slots = 1000
				for range 100 {
					if p, _ := b.choose(time.Minute+time.Second, wish{service: &service, model: "m", places: e < 2}); p != nil {
						starts++
					}
				}
			}
			if float64(starts) > bound {
				t.Errorf("%d entry hosts: %d requests in a second, the head bears %.0f", entries, starts, bound)
			}
		}
	})
}

// queueingHead serves some streams at once, the others in turn.
func queueingHead(slots, events int) answerFunc {
	places := make(chan struct{}, slots)
	answer := streamFrom(events, events, "s", nil)
	return func(c net.Conn, r *http.Request, attempt string) bool {
		places <- struct{}{}
		defer func() { <-places }()
		return answer(c, r, attempt)
	}
}

// Load: twice what a head serves, for ten seconds. What it serves is served in
// time, and it is never idle; a queue that stays full would make all late.
func TestRequestsAreInTimeWhileManyAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, events = 20, 50 // of 20 ms each
		b := newPlacedBench(t, 1, map[string]answerFunc{"head1": queueingHead(slots, events)})
		set := testSet()
		set.Services[1].Engine.Slots = slots
		set.Services[1].WarmupPerSecond = 0
		b.gate.index.Store(catalog.NewIndex(set))
		var mu sync.Mutex
		served, inTime, refused := 0, 0, 0
		var sent sync.WaitGroup
		for range 400 {
			sent.Go(func() {
				began := time.Now()
				w := b.sendTo(b.gate, "POST", "/stream/1", "p", nil)
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
			t.Errorf("%d served, %d of them in time, %d refused", served, inTime, refused)
		}
		time.Sleep(time.Minute)
	})
}
