package entry

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	contactTime = 3 * time.Second // after which all processes in touch must have learned of a crash
	maxRepeats  = 3               // further sends that are allowed after the third crash and contactTime
)

// assertCrashesBounded checks that a request that ended three upstreams was hardly sent on.
func (f *testFleet) assertCrashesBounded(c clientRequest) {
	f.t.Helper()
	crashes, arrivals := f.crashes(c.key())
	if len(crashes) < 3 {
		return
	}
	late := 0
	f.t.Logf("%s arrived %d times and ended %d upstreams", c.key(), len(arrivals), len(crashes))
	for _, a := range arrivals {
		if a.at.After(crashes[2].Add(contactTime)) && f.inTouch(a) {
			late++
		}
	}
	if late > maxRepeats {
		f.t.Errorf("%s was sent %d times later than %v after its third crash; it ended %d upstreams", c.key(), late, contactTime, len(crashes))
	}
}

func TestRequestThatSilencesUpstreamsIsNotSentOnAfterItsThird(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 5, fleetSize{entries: 4, plain: 2, engines: 10})
		crashing := clientRequest{kind: "stream", body: "crash silently"}
		var work sync.WaitGroup
		for second := range 30 {
			work.Go(func() { f.client(crashing) })
			work.Go(func() { f.client(clientRequest{kind: "stream", body: fmt.Sprint("innocent ", second)}) })
			time.Sleep(time.Second)
		}
		work.Wait()
		f.assertCrashesBounded(crashing)
	})
}

// assertAttemptsBounded checks that no attempt ran on more upstreams than its route allows.
func (f *testFleet) assertAttemptsBounded() {
	f.t.Helper()
	most := map[string]int{"once": 1}
	for _, r := range testSet().Routes {
		if most[r.Name] == 0 {
			most[r.Name] = r.MaxAttempts
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[string]int{}
	for _, a := range f.arrivals {
		kind, _, _ := strings.Cut(a.key, "|")
		if runs[a.attempt]++; runs[a.attempt] > most[kind] {
			f.t.Errorf("attempt %s of %s ran %d times", a.attempt, a.key, runs[a.attempt])
		}
	}
}

func TestCrashingRequestIsNotSentOnAfterItsThirdCrash(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		for name, disturb := range map[string]func(f *testFleet, second int){
			"calm": func(*testFleet, int) {},
			"leader killed": func(f *testFleet, second int) {
				if p := f.cores[second/4%3]; second%4 == 0 {
					f.killCore(p)
					f.startCore(p, false)
				}
			},
			"entry hosts restarted": func(f *testFleet, second int) {
				p := f.entries[second%len(f.entries)]
				f.killEntry(p)
				f.startEntry(p)
			},
			"everything restarted": func(f *testFleet, second int) {
				if second != 10 {
					return
				}
				for _, p := range f.cores {
					f.killCore(p)
				}
				for _, p := range f.entries {
					f.killEntry(p)
				}
				for _, p := range f.cores {
					f.startCore(p, false)
				}
				for _, p := range f.entries {
					f.startEntry(p)
				}
			},
		} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 1, fleetSize{entries: 4, plain: 6, engines: 6})
					crashing := clientRequest{kind: kind, body: "crash 1"}
					var work sync.WaitGroup
					for second := range 30 {
						work.Go(func() { f.client(crashing) })
						work.Go(func() { f.client(clientRequest{kind: kind, body: fmt.Sprint("innocent ", second)}) })
						time.Sleep(time.Second)
						disturb(f, second)
					}
					work.Wait()
					f.assertCrashesBounded(crashing)
					f.assertAttemptsBounded()
				})
			})
		}
	}
}

// TestPopularRequestIsNotWithheldAfterAnOutage: many clients send the same harmless request while
// the hosts of a domain end.
func TestPopularRequestIsNotWithheldAfterAnOutage(t *testing.T) {
	for _, kind := range []string{"again", "stream"} {
		for name, end := range map[string]func(h *simulatedHost){"processes end": (*simulatedHost).crash, "domain goes dark": (*simulatedHost).goDark} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 2, fleetSize{entries: 4, plain: 9, engines: 12})
					var work sync.WaitGroup
					served := 0
					for i := range 1000 {
						work.Go(func() {
							w := f.client(clientRequest{kind: kind, body: "popular"})
							f.mu.Lock()
							defer f.mu.Unlock()
							if w.status == 200 && !w.cut {
								served++
							}
						})
						time.Sleep(20 * time.Millisecond)
						if i%250 == 125 {
							f.endDomain(i/250%2, end)
						}
					}
					work.Wait()
					t.Logf("%d of 1000 served", served)
					if n := f.withheld(); n > 0 {
						t.Errorf("the quarantine withheld %d requests", n)
					}
				})
			})
		}
	}
}

// endDomain ends the hosts of a fabric domain, and the plain upstreams of a zone.
func (f *testFleet) endDomain(n int, end func(h *simulatedHost)) {
	for _, h := range f.hosts {
		if h.domain == fmt.Sprint("d", n) || h.domain == "" && h.zone == fmt.Sprint("z", n) {
			end(h)
		}
	}
}

func TestCrashingRequestIsBoundedOverManyEntryHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, fleetSize{entries: 75, plain: 6, engines: 12})
		var work sync.WaitGroup
		for i := range 150 {
			for _, kind := range []string{"once", "again", "stream"} {
				work.Go(func() { f.client(clientRequest{kind: kind, body: "crash 75"}) })
				work.Go(func() { f.client(clientRequest{kind: kind, body: fmt.Sprint("innocent ", i)}) })
			}
			time.Sleep(200 * time.Millisecond)
		}
		work.Wait()
		for _, kind := range []string{"once", "again", "stream"} {
			f.assertCrashesBounded(clientRequest{kind: kind, body: "crash 75"})
		}
		f.assertAttemptsBounded()
	})
}

func TestCutEntryHostStopsACrashingRequestByItself(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 4, fleetSize{entries: 3, plain: 6, engines: 6})
				cut := f.entries[0].name
				f.network.Partition([]string{cut}, []string{"c1", "c2", "c3", "e1", "e2"})
				crashing := clientRequest{kind: kind, body: "crash cut"}
				for range 30 {
					began := time.Now()
					f.send(0, crashing)
					if took := time.Since(began); took > time.Second {
						t.Errorf("answered after %v", took)
					}
					time.Sleep(500 * time.Millisecond)
				}
				if crashes, _ := f.crashes(crashing.key()); len(crashes) > 2 {
					t.Errorf("the cut entry host let it end %d upstreams", len(crashes))
				}
				f.network.HealAll()
				time.Sleep(2 * time.Second)
				for range 30 {
					f.send(1, crashing)
					time.Sleep(500 * time.Millisecond)
				}
				f.assertCrashesBounded(crashing)
			})
		})
	}
}

func TestUpstreamThatEndedBeforeTheRequestIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "X-Sig: s\r\n", "fine")})
		b.send("GET", "/again/1", "", nil) // leaves an idle connection
		b.network.Kill("p1")
		if w := b.send("GET", "/again/2", "", nil); w.status == 200 || b.total() != 1 {
			t.Errorf("answered %d after %d requests", w.status, b.total())
		}
		if b.gateway.guard.Watches() {
			t.Error("the request is held responsible")
		}
	})
}
