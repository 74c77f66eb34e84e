package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
)

// putInForce replaces the document of an entry host.
func putInForce(g *Gateway, change func(*catalog.Set)) {
	set := testSet()
	set.Version = g.index.Load().Set.Version + 1
	change(set)
	g.cfg.Decode = func([]byte) (*catalog.Set, error) { return set, nil }
	g.installDocument(nil)
}

// documentChanges are changes that concern a request in progress.
var documentChanges = map[string]func(*catalog.Set){
	"empty":           func(s *catalog.Set) { *s = catalog.Set{Version: s.Version} },
	"no routes":       func(s *catalog.Set) { s.Routes = nil },
	"other key":       func(s *catalog.Set) { s.Organisations[0].Keys = []string{"key-2"} },
	"no engine":       func(s *catalog.Set) { s.Services[1].Engine = nil },
	"no models":       func(s *catalog.Set) { s.Services[1].Engine.Models = nil },
	"engine of zeros": func(s *catalog.Set) { s.Services[1].Engine = &catalog.Engine{} },
	"renamed services": func(s *catalog.Set) {
		for i := range s.Services {
			s.Services[i].Name += "2"
		}
		for i := range s.Routes {
			s.Routes[i].Backends[0].Service += "2"
		}
	},
	"short timeouts": func(s *catalog.Set) {
		for i := range s.Routes {
			s.Routes[i].Timeout, s.Routes[i].MaxAttempts = time.Millisecond, 1
		}
	},
	"no bodies": func(s *catalog.Set) { s.Limits.BodyBytes = 1 },
}

// slowly answers after 800 ms, a stream with pauses.
func slowly(c net.Conn, r *http.Request, attempt string) bool {
	if strings.HasPrefix(r.RequestURI, "/stream/") {
		answer := streamFrom(10, 10, "s", nil)
		time.Sleep(700 * time.Millisecond)
		return answer(c, r, attempt)
	}
	time.Sleep(800 * time.Millisecond)
	return fixedAnswer(200, "X-Sig: s\r\n", "done")(c, r, attempt)
}

func TestChangeOfTheDocumentLeavesRequestsInProgressAlone(t *testing.T) {
	for name, change := range documentChanges {
		for kind, body := range map[string]string{"once": "done", "again": "done", "stream": events10()} {
			for _, after := range []time.Duration{10 * time.Millisecond, 400 * time.Millisecond, 790 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s %s %v", name, kind, after), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						b := newHarness(t, map[string]answerFunc{"p1": slowly, "head1": slowly})
						server := b.serveClients()
						time.AfterFunc(after, func() {
							putInForce(b.gateway, change)
							b.gateway.applyPlacers(map[string]string{})
							b.gateway.balancer.applySync(b.gateway.now(), control.FleetSyncResult{Full: true, Converged: true, EntryHosts: 1}, localUsage{}, true)
						})
						if a := b.exchangeOnce("POST", requestText("POST", "/"+kind+"/1", "body", nil)); a.err != nil || a.status != 200 || a.body != body {
							t.Errorf("status %d, body %q, %v", a.status, a.body, a.err)
						}
						_ = server.Close()
						time.Sleep(time.Minute) // let the upstreams end
					})
				})
			}
		}
	}
}

// TestPlacerWithAnotherDocumentDoesNotEndRequests: the entry host that places a model's requests
// does not have their service yet, or has it no longer.
func TestPlacerWithAnotherDocumentDoesNotEndRequests(t *testing.T) {
	for name, from := range map[string]int{"at the start": 0, "on resuming": 4} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b *placerHarness
				answer := func(c net.Conn, r *http.Request, attempt string) bool {
					if from > 0 && r.Header.Get("Last-Event-Id") == "" {
						putInForce(b.gateways[0], documentChanges["renamed services"])
						return streamFrom(10, from, "s", func(c net.Conn) { _ = c.Close() })(c, r, attempt)
					}
					return streamFrom(10, 10, "s", nil)(c, r, attempt)
				}
				b = newPlacerHarness(t, 2, map[string]answerFunc{"head1": answer, "head2": answer})
				if from == 0 {
					putInForce(b.gateways[0], documentChanges["renamed services"])
				}
				if w := b.sendTo(b.gateways[1], "POST", "/stream/1", "p", nil); w.cut || w.status != 200 || w.body.String() != events10() {
					t.Errorf("cut %v, status %d, body %q", w.cut, w.status, &w.body)
				}
				time.Sleep(time.Minute) // let the upstreams end
			})
		})
	}
}
