package entry

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/quarantine"
)

// soundCount counts sound requests and those of them that were served.
type soundCount struct {
	mu           sync.Mutex
	sent, served int
}

func (s *soundCount) add(w *recorder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if w.status == 200 && !w.cut {
		s.served++
	}
}

// disturbances of a fleet that plays for some time.
var disturbances = map[string]func(f *testFleet, second int){
	"calm": nil,
	"leader killed": func(f *testFleet, second int) {
		if p := f.cores[second/4%3]; second%4 == 0 {
			f.disturb(p.name, func() {
				f.killCore(p)
				f.startCore(p, false)
			})
		}
	},
	"entry hosts restarted": func(f *testFleet, second int) {
		if p := f.entries[second/3%len(f.entries)]; second%3 == 0 {
			f.disturb(p.name, func() {
				f.killEntry(p)
				f.startEntry(p)
			})
		}
	},
	"everything restarted": func(f *testFleet, second int) {
		if second == 8 {
			f.disturb(f.cores[0].name, f.restartEverything)
		}
	},
}

func TestRequestThatCompletedBeforeItCrashesUpstreamsIsNotSentOnAfterItsThirdCrash(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		for name, disturb := range disturbances {
			for _, perSecond := range []int{1, 5} {
				t.Run(fmt.Sprint(kind, " ", name, " ", perSecond, " a second"), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playTurningRequest(t, kind, perSecond, disturb) })
				})
			}
		}
	}
}

// playTurningRequest plays a request that completes for ten seconds and then crashes upstreams, among
// sound ones.
func playTurningRequest(t *testing.T, kind string, perSecond int, disturb func(f *testFleet, second int)) {
	const sound, bad = 10, 26
	f := newTestFleet(t, 8, fleetSize{entries: 4, plain: 3, engines: 6})
	f.turnBadIn(sound * time.Second)
	turning := clientRequest{kind: kind, body: "crash later"}
	var work sync.WaitGroup
	var late soundCount
	for tick := range 10 * (sound + bad) {
		second := tick / 10
		if tick%(10/perSecond) == 0 {
			work.Go(func() { f.client(turning) })
		}
		work.Go(func() {
			w := f.client(clientRequest{kind: kind, body: fmt.Sprint("innocent ", tick)})
			if second >= sound+10 {
				late.add(w)
			}
		})
		time.Sleep(100 * time.Millisecond)
		if tick%10 == 9 && second >= sound && disturb != nil {
			disturb(f, second-sound)
		}
	}
	work.Wait()
	if crashes, _ := f.crashes(turning.key()); len(crashes) == 0 {
		t.Error("no upstream ended")
	}
	f.assertCrashesBounded(turning)
	f.assertAttemptsBounded()
	t.Logf("%d of %d sound requests served", late.served, late.sent)
	if 2*late.served < late.sent {
		t.Errorf("%d of %d sound requests served after the crashes", late.served, late.sent)
	}
}

func TestPromptPartThatCompletedBeforeItCrashesUpstreamsIsNotSentOnAfterItsFifthCrash(t *testing.T) {
	for name, disturb := range disturbances {
		for _, long := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " long ", long), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 9, fleetSize{entries: 7, plain: 2, engines: 14})
					p := &partPlay{fleet: f, bad: "bad0", long: long}
					const sound = 10
					f.turnBadIn(sound * time.Second)
					p.play(sound, true, nil)
					p.began = time.Now()
					p.play(26, true, disturb)
					p.assert()
				})
			})
		}
	}
}

// TestPopularRequestIsNotWithheldWhileUpstreamsEndInSeries: one upstream after the other ends while many
// clients send the same harmless request, or different ones that share parts.
func TestPopularRequestIsNotWithheldWhileUpstreamsEndInSeries(t *testing.T) {
	for _, c := range []struct {
		name     string
		request  clientRequest
		interval time.Duration
	}{
		{"again", clientRequest{kind: "again", body: "popular"}, 20 * time.Millisecond},
		{"stream", clientRequest{kind: "stream", body: "popular"}, 20 * time.Millisecond},
		{"long stream", clientRequest{kind: "stream", body: "long popular"}, 100 * time.Millisecond},
	} {
		for _, gap := range []time.Duration{30 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprint(c.name, " ", gap), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 2, fleetSize{entries: 4, plain: 9, engines: 12})
					all := f.playOutages(30*time.Second, c.interval, gap, func(int) clientRequest { return c.request })
					t.Logf("%d of %d served", all.served, all.sent)
					if n := f.withheld(); n > 0 {
						t.Errorf("the quarantine withheld %d requests", n)
					}
				})
			})
		}
	}
}

func TestPopularPartsAreFreeWhileUpstreamsEndInSeries(t *testing.T) {
	for _, gap := range []time.Duration{30 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
		for _, kind := range []string{"", "long "} {
			t.Run(fmt.Sprint(kind, gap), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 2, fleetSize{entries: 4, plain: 9, engines: 12})
					p := &partPlay{fleet: f}
					f.playOutages(30*time.Second, 100*time.Millisecond, gap, func(n int) clientRequest {
						if f.suspectEverywhere(p.soundParts(n)) {
							t.Errorf("a sound part is a suspect after %d requests", n)
						}
						return clientRequest{kind: "stream", body: fmt.Sprint(kind, n), parts: p.soundParts(n)}
					})
				})
			})
		}
	}
}

// suspectEverywhere reports whether no entry host lets a request with these parts run freely.
func (f *testFleet) suspectEverywhere(parts string) bool {
	return !slices.ContainsFunc(f.entries, func(p *entryProcess) bool {
		g := p.g.Load()
		return g.guard.Judge(g.now(), time.Now().UnixMilli(), "another", readPromptParts([]string{parts})).Verdict == quarantine.Free
	})
}

// playOutages sends a request in each interval while domains end in turn, their upstreams with a gap
// between them.
func (f *testFleet) playOutages(long, interval, gap time.Duration, request func(n int) clientRequest) *soundCount {
	var work sync.WaitGroup
	all := &soundCount{}
	outages := 0
	for n := range int(long / interval) {
		c := request(n)
		work.Go(func() { all.add(f.client(c)) })
		time.Sleep(interval)
		if time.Duration(n)*interval >= time.Duration(10+5*outages)*time.Second {
			domain := outages % 2
			outages++
			work.Go(func() {
				f.endDomain(domain, func(h *simulatedHost) {
					h.crash()
					time.Sleep(gap)
				})
			})
		}
	}
	work.Wait()
	return all
}

func TestSoundRequestsBeginAgainAfterCrashesThatNoLaterRunDisproved(t *testing.T) {
	for _, entries := range []int{2, 5} {
		t.Run(fmt.Sprint(entries, " entry hosts"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 11, fleetSize{entries: entries, plain: 2, engines: 4})
				p := &partPlay{fleet: f, bad: "bad0"}
				p.play(8, false, nil)
				for range 5 { // ends all upstreams, so that no later run completes for some time
					p.sendBad()
					p.sendSound()
					time.Sleep(100 * time.Millisecond)
				}
				p.play(6, false, nil)
				from := time.Now()
				p.play(5, false, nil)
				p.work.Wait()
				began := 0
				for _, a := range p.sound {
					if a.at.After(from) && a.began {
						began++
					}
				}
				if began < 99 {
					t.Errorf("%d of 100 sound requests began", began)
				}
			})
		})
	}
}
