package entry

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
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
