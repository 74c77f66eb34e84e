package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/reach"
)

// cutOff lets an entry host know that it can reach no upstream.
func cutOff(g *Gateway) {
	g.links.watching.Store(true)
	g.links.record(&linkRound{result: reach.Round{Failed: reach.Witnesses}})
}

// reachUpstreams lets an entry host know that it can reach upstreams.
func reachUpstreams(g *Gateway) {
	g.links.record(&linkRound{result: reach.Round{Connected: 1}})
}

// serveRelays lets an entry host relay for others.
func (b *harness) serveRelays(g *Gateway, host string) {
	s := &http.Server{Handler: g.RelayHandler(), ErrorLog: logging.Discard().StandardLog()}
	l := b.network.Listen(host, host+":10")
	go func() { _ = s.Serve(l) }()
	b.t.Cleanup(func() { _ = s.Close() })
}

// newRelayingHarness returns a harness whose entry host is cut off, and one that relays for it.
func newRelayingHarness(t *testing.T, upstreams map[string]answerFunc) (*harness, *Gateway) {
	b := newHarness(t, upstreams)
	peer := b.newGateway("e2", logging.Discard())
	b.serveRelays(peer, "e2")
	b.gateway.relays.update([]string{"e2:10"})
	t.Cleanup(b.gateway.relayPool.Close)
	cutOff(b.gateway)
	return b, peer
}

func TestRelayedRequestPassesThroughUnchanged(t *testing.T) {
	long := strings.Repeat("x", 3*maxBufferedAnswer)
	for _, c := range []struct {
		kind, extra, body string
		status            int
	}{
		{"once", "X-Sig: s1\r\nX-Other: o\r\n", "done", 201},
		{"again", "X-Sig: s1\r\nX-Other: o\r\n", long, 200},
		{"once", "X-Sig: s1\r\nX-Other: o\r\nRetry-After: 7\r\n", "ran and failed", 500},
		{"stream", "X-Sig: s1\r\nX-Other: o\r\n", "no such prompt", 422},
	} {
		t.Run(fmt.Sprint(c.kind, c.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, _ := newRelayingHarness(t, map[string]answerFunc{"p1": fixedAnswer(c.status, c.extra, c.body), "head1": fixedAnswer(c.status, c.extra, c.body)})
				path := "/" + c.kind + "/a%2Fb?q=1&q=2"
				w := b.send("POST", path, "payload", map[string]string{"X-Custom": "c", "X-Org": "forged", "Connection": "X-Hop", "X-Hop": "h", relayHeader: "{}"})
				if w.status != c.status || w.body.String() != c.body || w.header.Get("X-Sig") != "s1" || w.header.Get("X-Other") != "o" {
					t.Errorf("got answer %d of %d bytes, %v", w.status, w.body.Len(), w.header)
				}
				for id, rs := range b.requests {
					r := rs[0]
					if r.Method != "POST" || r.RequestURI != path || r.Host != "shop.example" || b.bodies[id][0] != "payload" {
						t.Errorf("upstream got %s %s %s %q", r.Method, r.RequestURI, r.Host, b.bodies[id][0])
					}
					for name, want := range map[string]string{"X-Custom": "c", "X-Org": "acme", "X-Who": id, "Authorization": "", "X-Hop": "", "X-Attempt": "a-1", relayHeader: ""} {
						if got := r.Header.Get(name); got != want {
							t.Errorf("%s is %q, want %q", name, got, want)
						}
					}
				}
				if n := b.total(); n != 1 {
					t.Errorf("upstreams got %d requests", n)
				}
			})
		})
	}
}

func TestRelayedStreamIsForwardedAsItComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newRelayingHarness(t, map[string]answerFunc{"head1": streamFrom(10, 10, "s", nil)})
		began := time.Now()
		w := b.send("POST", "/stream/1", "p", map[string]string{testHeaders.LastEventID: "4"})
		if w.status != 200 || w.cut || !strings.HasPrefix(w.body.String(), "id: 5\n") || !strings.HasSuffix(w.body.String(), "data: e10\n\n") {
			t.Errorf("got %d, cut %v, %q", w.status, w.cut, w.body.String())
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

func TestRelayedRequestEndsWithItsClient(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				closed := make(chan time.Time, 1)
				silent := func(c net.Conn, _ *http.Request, _ string) bool {
					_, _ = c.Read(make([]byte, 1))
					closed <- time.Now()
					return false
				}
				b, _ := newRelayingHarness(t, map[string]answerFunc{"p1": silent, "head1": silent})
				ctx, leave := context.WithCancel(context.Background())
				r, _ := http.NewRequestWithContext(ctx, "POST", "http://shop.example/"+kind+"/1", strings.NewReader("p"))
				r.RequestURI, r.Host = "/"+kind+"/1", "shop.example"
				r.Header.Set("Authorization", "Bearer key-1")
				r.Header.Set(testHeaders.Model, "m")
				left := time.Now().Add(300 * time.Millisecond)
				time.AfterFunc(300*time.Millisecond, leave)
				w := serveRecorded(b.gateway, r)
				if !w.cut {
					t.Errorf("the handler returned with status %d, which ends as a success", w.status)
				}
				if late := (<-closed).Sub(left); late > 100*time.Millisecond {
					t.Errorf("the upstream worked for %v more", late)
				}
			})
		})
	}
}

// TestCutOffEntryHostsRefuseAtOnce: nobody can serve, so requests neither wait nor circle.
func TestCutOffEntryHostsRefuseAtOnce(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, peer := newRelayingHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "X-Sig: s\r\n", "x")})
				b.serveRelays(b.gateway, "e1")
				peer.relays.update([]string{"e1:10"})
				t.Cleanup(peer.relayPool.Close)
				cutOff(peer)
				for _, g := range []*Gateway{b.gateway, peer} {
					began := time.Now()
					w := b.sendTo(g, "POST", "/"+kind+"/1", "p", nil)
					if w.status != http.StatusServiceUnavailable || w.header.Get("Retry-After") == "" || w.header.Get(relayDeclinedHeader) != "" {
						t.Errorf("got %d %v", w.status, w.header)
					}
					if took := time.Since(began); took > 20*time.Millisecond {
						t.Errorf("took %v", took)
					}
				}
				if n := b.total(); n != 0 {
					t.Errorf("upstreams got %d requests", n)
				}
			})
		})
	}
}

// TestPeerThatMustNotServeIsPassedOver covers entry hosts that stop, hold an older document or none, do
// not listen, or are cut off: a request that must not run twice goes to the next one.
func TestPeerThatMustNotServeIsPassedOver(t *testing.T) {
	for name, spoil := range map[string]func(b *harness, g *Gateway){
		"stops":        func(_ *harness, g *Gateway) { g.BeginShutdown() },
		"is cut off":   func(_ *harness, g *Gateway) { cutOff(g) },
		"has ended":    func(b *harness, _ *Gateway) { b.network.Kill("e2") },
		"no document":  func(_ *harness, g *Gateway) { g.index.Store(nil) },
		"old document": func(_ *harness, g *Gateway) { g.index.Store(catalog.NewIndex(olderSet())) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, peer := newRelayingHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "X-Sig: s\r\n", "x")})
				third := b.newGateway("e3", logging.Discard())
				b.serveRelays(third, "e3")
				b.gateway.relays.update([]string{"e2:10", "e3:10"})
				spoil(b, peer)
				for n := range 10 {
					if w := b.send("POST", fmt.Sprint("/once/", n), "p", nil); w.status != 200 {
						t.Errorf("got %d %s", w.status, w.body.String())
					}
				}
				if n := b.total(); n != 10 {
					t.Errorf("upstreams got %d requests", n)
				}
			})
		})
	}
}

// olderSet returns testSet with an older version.
func olderSet() *catalog.Set {
	set := testSet()
	set.Version--
	return set
}

// TestPeerThatDiesMidway: what must not run twice has an unknown outcome, a stream continues at another
// entry host.
func TestPeerThatDiesMidway(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := func(c net.Conn, r *http.Request, attempt string) bool {
					time.Sleep(200 * time.Millisecond)
					return fixedAnswer(200, "X-Sig: s\r\n", "fine")(c, r, attempt)
				}
				b, _ := newRelayingHarness(t, map[string]answerFunc{"p1": slow, "p2": slow, "head1": streamFrom(10, 10, "s", nil), "head2": streamFrom(10, 10, "s", nil)})
				third := b.newGateway("e3", logging.Discard())
				b.serveRelays(third, "e3")
				var died atomic.Bool
				time.AfterFunc(100*time.Millisecond, func() {
					for _, host := range []string{"e2", "e3"} {
						b.gateway.relays.mu.Lock()
						relays := b.gateway.relays.running[host+":10"] > 0
						b.gateway.relays.mu.Unlock()
						if relays {
							died.Store(true)
							b.network.Kill(host)
						}
					}
				})
				b.gateway.relays.update([]string{"e2:10", "e3:10"})
				w := b.send("POST", "/"+kind+"/1", "p", nil)
				time.Sleep(time.Second) // let the upstreams end
				if !died.Load() {
					t.Fatal("no entry host relayed")
				}
				switch {
				case kind == "once" && (w.status != http.StatusBadGateway || b.total() != 1):
					t.Errorf("got %d, upstreams got %d requests", w.status, b.total())
				case kind == "again" && (w.status != 200 || w.body.String() != "fine"):
					t.Errorf("got %d %q", w.status, w.body.String())
				case kind == "stream" && (w.status != 200 || w.cut || w.body.String() != events10()):
					t.Errorf("got %d, cut %v, %q", w.status, w.cut, w.body.String())
				}
			})
		})
	}
}

// TestFrozenPeerIsReplaced: an entry host that stands still accepts a request and sends nothing.
func TestFrozenPeerIsReplaced(t *testing.T) {
	for _, kind := range []string{"again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, _ := newRelayingHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "X-Sig: s\r\n", "fine"), "head1": streamFrom(10, 10, "s", nil)})
				frozen := b.network.Listen("e3", "e3:10")
				defer b.network.Kill("e3")
				go func() {
					for {
						if _, err := frozen.Accept(); err != nil {
							return
						}
					}
				}()
				b.gateway.relays.update([]string{"e2:10", "e3:10"})
				for n := range 6 {
					if w := b.send("POST", fmt.Sprint("/", kind, "/", n), "p", nil); w.status != 200 || w.cut {
						t.Errorf("got %d %s", w.status, w.body.String())
					}
					time.Sleep(time.Second)
				}
			})
		})
	}
}

func TestRelayPeersSpreadRequests(t *testing.T) {
	p := newRelayPeers("own:10")
	p.update([]string{"a:10", "own:10", "b:10", "c:10"})
	counts := map[string]int{}
	for range 300 {
		counts[p.choose(0, nil)]++
	}
	if counts["own:10"] > 0 || len(counts) != 3 || counts["a:10"] < 80 || counts["b:10"] < 80 || counts["c:10"] < 80 {
		t.Errorf("got %v", counts)
	}
	p.recordFailure(0, "a:10")
	for range 100 {
		if got := p.choose(0, map[string]bool{"b:10": true}); got != "c:10" {
			t.Fatalf("got %q", got)
		}
	}
	if got := p.choose(0, map[string]bool{"b:10": true, "c:10": true}); got != "a:10" {
		t.Errorf("the last one left is %q", got)
	}
	p.update([]string{})
	if got := p.choose(0, nil); got != "" || p.hasOther(nil) {
		t.Errorf("got %q of an empty list", got)
	}
	if !slices.Equal(p.addresses, []string{}) {
		t.Error("the list is not empty")
	}
}

func TestRelayedAnswerTellsThatAnUpstreamLeaves(t *testing.T) {
	for _, kind := range []string{"once", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := fixedAnswer(201, "X-Sig: s\r\nX-Leaving: 1\r\n", "done")
				b, _ := newRelayingHarness(t, map[string]answerFunc{"p1": answer, "head1": streamFrom(10, 10, "s\r\nX-Leaving: 1", nil)})
				w := b.send("POST", "/"+kind+"/1", "p", nil)
				if w.status >= 300 || w.header.Get(relayUpstreamHeader) != "" {
					t.Errorf("got %d %v", w.status, w.header)
				}
				id := map[string]string{"once": "p1", "stream": "head1"}[kind]
				if !b.gateway.balancer.targets[id].leaving {
					t.Errorf("%s is not known to leave", id)
				}
			})
		})
	}
}

// TestUpstreamCannotDeclineForAnEntryHost: its answer would otherwise prove that the request did not run.
func TestUpstreamCannotDeclineForAnEntryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newRelayingHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "X-Sig: s\r\n"+relayDeclinedHeader+": no\r\n"+relayUpstreamHeader+": p9 1\r\n", "ran")})
		third := b.newGateway("e3", logging.Discard())
		b.serveRelays(third, "e3")
		b.gateway.relays.update([]string{"e2:10", "e3:10"})
		w := b.send("POST", "/once/1", "p", nil)
		if n := b.total(); w.status != 200 || n != 1 {
			t.Errorf("got %d, the request ran %d times", w.status, n)
		}
	})
}

// TestWaitingStreamAsksEachEntryHostOnce: its upstream has ended, and it polls until another one appears.
func TestWaitingStreamAsksEachEntryHostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"head1": streamFrom(10, 4, "s", func(c net.Conn) { _ = c.Close() })})
		b.removeColdBound(b.gateway)
		peer := b.newGateway("e2", logging.Discard())
		b.removeColdBound(peer)
		var asked atomic.Int64
		s := &http.Server{ErrorLog: logging.Discard().StandardLog(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			peer.RelayHandler().ServeHTTP(w, r)
		})}
		l := b.network.Listen("e2", "e2:10")
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		t.Cleanup(b.gateway.relayPool.Close)
		b.gateway.relays.update([]string{"e2:10"})
		time.AfterFunc(50*time.Millisecond, func() { b.network.Kill("head1") })
		if w := b.send("POST", "/stream/1", "p", nil); !w.cut {
			t.Errorf("got %d %q", w.status, w.body.String())
		}
		if n := asked.Load(); n != 1 {
			t.Errorf("the other entry host was asked %d times", n)
		}
	})
}
