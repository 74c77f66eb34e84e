package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// arrivalIntervals are the times between arrivals of a crashing request.
var arrivalIntervals = []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond}

// bothBuffered are the kinds of routes without streams.
var bothBuffered = []string{"once", "again"}

func TestRequestThatSilencesPlainUpstreamsIsNotSentOnAfterItsThird(t *testing.T) {
	for _, kind := range bothBuffered {
		for _, every := range arrivalIntervals {
			t.Run(fmt.Sprint(kind, " each ", every), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 11, fleetSize{entries: 4, plain: 12, engines: 0})
					crashing := clientRequest{kind: kind, body: "crash dark", limit: time.Second}
					sound := f.playAmongSound(crashing, 30, every)
					f.assertCrashesBounded(crashing)
					f.assertAttemptsBounded()
					if crashes, _ := f.crashes(crashing.key()); len(crashes) < 3 {
						t.Errorf("it silenced %d upstreams only", len(crashes))
					}
					f.assertServed(sound, 0.95)
				})
			})
		}
	}
}

func TestRequestThatEndsUpstreamsAfterItsClientLeftIsNotSentOnAfterItsThird(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		for _, every := range arrivalIntervals {
			t.Run(fmt.Sprint(kind, " each ", every), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					size := fleetSize{entries: 4, plain: 12, engines: 0}
					if kind == "stream" {
						size = fleetSize{entries: 4, plain: 2, engines: 12}
					}
					f := newTestFleet(t, 12, size)
					crashing := clientRequest{kind: kind, body: "crash unheard", leaves: 300 * time.Millisecond}
					sound := f.playAmongSound(crashing, 30, every)
					f.assertCrashesBounded(crashing)
					if crashes, _ := f.crashes(crashing.key()); len(crashes) < 3 {
						t.Errorf("it ended %d upstreams only", len(crashes))
					}
					f.assertServed(sound, 0.95)
				})
			})
		}
	}
}

// TestOverloadAloneStopsNoRequest: upstreams that answer too late answer, and clients that leave end none.
func TestOverloadAloneStopsNoRequest(t *testing.T) {
	for name, c := range map[string]clientRequest{
		"time over":   {body: "overload", limit: time.Second},
		"client left": {body: "overload", leaves: 300 * time.Millisecond},
	} {
		for _, kind := range bothBuffered {
			t.Run(name+" "+kind, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 13, fleetSize{entries: 4, plain: 6, engines: 0})
					c := c // each subtest has its own kind
					c.kind = kind
					var work sync.WaitGroup
					for range 100 {
						work.Go(func() { f.send(f.randomEntry(), c) })
						time.Sleep(100 * time.Millisecond)
					}
					work.Wait()
					time.Sleep(5 * time.Second)
					if n := f.withheld(); n > 0 {
						t.Errorf("the quarantine withheld %d requests", n)
					}
					for _, p := range f.entries {
						if p.g.Load().guard.Watches() {
							t.Errorf("%s holds the overload against a request", p.name)
						}
					}
				})
			})
		}
	}
}

// TestPopularRequestThatManyClientsLeaveIsNotWithheldAfterAnOutage: its abandoned runs end with a domain.
func TestPopularRequestThatManyClientsLeaveIsNotWithheldAfterAnOutage(t *testing.T) {
	for _, kind := range []string{"again", "stream"} {
		for name, end := range map[string]func(h *simulatedHost){"processes end": (*simulatedHost).crash, "domain goes dark": (*simulatedHost).goDark} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 14, fleetSize{entries: 4, plain: 9, engines: 12})
					var work sync.WaitGroup
					for i := range 1000 {
						c := clientRequest{kind: kind, body: "popular"}
						if i%3 == 0 {
							c.leaves = 15 * time.Millisecond
						}
						work.Go(func() { f.client(c) })
						time.Sleep(20 * time.Millisecond)
						if i%250 == 125 {
							f.endDomain(i/250%2, end)
						}
					}
					work.Wait()
					if n := f.withheld(); n > 0 {
						t.Errorf("the quarantine withheld %d requests", n)
					}
				})
			})
		}
	}
}

func TestPlannedEndIsNotHeldAgainstRunsWhoseClientLeft(t *testing.T) {
	for name, announced := range map[string]bool{"announced": true, "not announced": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, map[string]answerFunc{"p1": lostAnswer})
				ctx, leave := context.WithCancel(t.Context())
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://shop.example/once/1", strings.NewReader("x"))
				if err != nil {
					t.Fatal(err)
				}
				r.RequestURI = "/once/1"
				r.Header.Set("Authorization", "Bearer key-1")
				time.AfterFunc(100*time.Millisecond, func() {
					if announced {
						b.announceDrain("p1")
					}
					leave()
				})
				time.AfterFunc(300*time.Millisecond, func() { b.network.Exit("p1") })
				serveRecorded(b.gateway, r)
				time.Sleep(2 * time.Minute) // let the upstream end
				if watches := b.gateway.guard.Watches(); watches == announced {
					t.Errorf("held against the request: %v", watches)
				}
			})
		})
	}
}

// playAmongSound lets a request arrive at random entry hosts among sound ones. It returns the share of these that
// was served.
func (f *testFleet) playAmongSound(c clientRequest, arrivals int, every time.Duration) (share float64) {
	var work sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	for i := range arrivals {
		work.Go(func() { f.send(f.randomEntry(), c) })
		for k := range 5 {
			time.Sleep(every / 5)
			work.Go(func() {
				w := f.client(clientRequest{kind: c.kind, body: fmt.Sprint("innocent ", i, " ", k)})
				mu.Lock()
				defer mu.Unlock()
				if sent++; w.status == http.StatusOK && !w.cut {
					served++
				}
			})
		}
	}
	work.Wait()
	return float64(served) / float64(sent)
}

func (f *testFleet) assertServed(share, least float64) {
	f.t.Helper()
	f.t.Logf("%.2f of the sound requests were served", share)
	if share < least {
		f.t.Errorf("%.2f of the sound requests were served, want %.2f", share, least)
	}
}

// clientContext returns the context of a client that may leave.
func clientContext(c clientRequest) (context.Context, context.CancelFunc) {
	if c.leaves == 0 {
		return context.Background(), func() {}
	}
	return context.WithTimeout(context.Background(), c.leaves)
}

const (
	// unheardEnd is how long a request whose body begins with "crash unheard" runs until its upstream ends.
	unheardEnd = 500 * time.Millisecond
	// overloadTime is how long one whose body begins with "overload" runs.
	overloadTime = 1200 * time.Millisecond
)

// runUnanswered runs a request that gets no answer in time. It reports whether it did.
func (h *simulatedHost) runUnanswered(body string) bool {
	switch {
	case strings.HasPrefix(body, "crash dark"):
		h.goDark()
	case strings.HasPrefix(body, "crash unheard"):
		time.Sleep(unheardEnd)
		h.crash()
	case strings.HasPrefix(body, "overload"):
		time.Sleep(overloadTime)
	default:
		return false
	}
	return true
}
