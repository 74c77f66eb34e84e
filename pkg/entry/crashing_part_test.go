package entry

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	boundedCrash  = 5  // the crash after which repeats are bounded
	fewestCounted = 20 // requests below which a share says nothing
)

// soundAttempt is the first attempt of a request without a bad part.
type soundAttempt struct {
	arrival
	began bool // its answer began
	whole bool // its answer is complete
}

// partPlay plays requests with a bad part among sound ones, no two alike, on a testFleet.
type partPlay struct {
	fleet     *testFleet
	bad       string // ID of the bad part
	long      bool   // answers of sound requests take two seconds
	companion string // ID of a part that comes only with the bad one; empty if there is none
	began     time.Time
	mu        sync.Mutex
	sound     []soundAttempt
	work      sync.WaitGroup
	sent      int
}

// soundParts returns the parts of a sound request: those of the route, one of three others, its own.
func (p *partPlay) soundParts(n int) string {
	return fmt.Sprintf("f1:800,f2:90,a%d:100,e%x:50", n%3, 100000+n)
}

func (p *partPlay) badParts(n int) string {
	companion := ""
	if p.companion != "" {
		companion = p.companion + ":30,"
	}
	return fmt.Sprintf("f1:800,f2:90,%s%s:60,a%d:100,e%x:50", companion, p.bad, n%3, 100000+n)
}

// sendSound sends a new sound request, and once more if it is not served.
func (p *partPlay) sendSound() {
	p.sent++
	n := p.sent
	p.work.Go(func() {
		c := clientRequest{kind: "stream", body: fmt.Sprint("sound ", n), parts: p.soundParts(n)}
		if p.long {
			c.body = "long " + c.body
		}
		at, entry := time.Now(), p.fleet.randomEntry()
		w := p.fleet.send(entry, c)
		p.mu.Lock()
		p.sound = append(p.sound, soundAttempt{arrival{at: at, upstream: p.fleet.entries[entry].name}, w.status == 200, w.status == 200 && !w.cut})
		p.mu.Unlock()
		if w.status != 200 {
			time.Sleep(500 * time.Millisecond)
			p.fleet.send(p.fleet.randomEntry(), c)
		}
	})
}

func (p *partPlay) sendBad() {
	p.sent++
	n := p.sent
	p.work.Go(func() {
		p.fleet.client(clientRequest{kind: "stream", body: fmt.Sprint("unsound ", p.bad, n), parts: p.badParts(n)})
	})
}

// play sends for a time 20 sound requests a second, and if bad is set 5 with the bad part.
func (p *partPlay) play(seconds int, bad bool, disturb func(f *testFleet, second int)) {
	for second := range seconds {
		for i := range 20 {
			p.sendSound()
			if bad && i%4 == 0 {
				p.sendBad()
			}
			time.Sleep(50 * time.Millisecond)
		}
		if disturb != nil {
			disturb(p.fleet, second)
		}
	}
}

// assertPartBounded checks that requests with the bad part were hardly sent on after the fifth crash.
func (p *partPlay) assertPartBounded() {
	f := p.fleet
	f.t.Helper()
	crashes, sends := f.partCrashes[p.bad], f.partSends[p.bad]
	f.t.Logf("%d requests with part %s ran, %d upstreams ended", len(sends), p.bad, len(crashes))
	if len(crashes) == 0 {
		f.t.Error("no request with the bad part ran")
	}
	if len(crashes) < boundedCrash {
		return
	}
	late := 0
	for _, a := range sends {
		if a.at.After(crashes[boundedCrash-1].Add(contactTime)) && f.inTouch(a) {
			late++
		}
	}
	if late > maxRepeats {
		f.t.Errorf("%d requests with the bad part were sent later than %v after the fifth crash; %d upstreams ended", late, contactTime, len(crashes))
	}
}

// assertSoundServed checks that sound requests begin at least half as often as before, from twice
// contactTime after the fifth crash, or the last if there are fewer.
func (p *partPlay) assertSoundServed() {
	f := p.fleet
	f.t.Helper()
	crashes := f.partCrashes[p.bad]
	if len(crashes) == 0 {
		return
	}
	from := crashes[min(len(crashes), boundedCrash)-1].Add(2 * contactTime)
	var before, after, beganBefore, beganAfter, cut int
	for _, a := range p.sound {
		if a.began && !a.whole {
			cut++
		}
		switch {
		case a.at.Before(p.began):
			before++
			if a.began {
				beganBefore++
			}
		case a.at.After(from) && f.hostInTouch(a.upstream, a.at):
			after++
			if a.began {
				beganAfter++
			}
		}
	}
	f.t.Logf("sound requests: %d of %d began before, %d of %d afterwards; %d of %d cut", beganBefore, before, beganAfter, after, cut, len(p.sound))
	if after < fewestCounted {
		f.t.Errorf("only %d sound requests to judge by", after)
	}
	if before < fewestCounted {
		before, beganBefore = 1, 1
	}
	if 2*beganAfter*before < beganBefore*after {
		f.t.Errorf("%d of %d sound requests began after the crashes, %d of %d before", beganAfter, after, beganBefore, before)
	}
}

func (p *partPlay) assert() {
	p.fleet.t.Helper()
	p.work.Wait()
	p.assertPartBounded()
	p.assertSoundServed()
	p.fleet.assertAttemptsBounded()
}

// restartEverything restarts all coordinators and entry hosts at once.
func (f *testFleet) restartEverything() {
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
}

func TestPromptPartThatCrashesUpstreamsIsNotSentOnAfterItsFifthCrash(t *testing.T) {
	for _, c := range []struct {
		name      string
		entries   int
		warm      int // seconds of sound requests before the first bad one
		companion string
		long      bool
		disturb   func(f *testFleet, second int)
	}{
		{name: "calm", entries: 4, warm: 5},
		{name: "leader killed", entries: 4, warm: 5, disturb: func(f *testFleet, second int) {
			if p := f.cores[second/4%3]; second%4 == 0 {
				f.killCore(p)
				f.startCore(p, false)
			}
		}},
		{name: "entry hosts restarted", entries: 4, warm: 5, disturb: func(f *testFleet, second int) {
			if p := f.entries[second/3%4]; second%3 == 0 {
				f.disturb(p.name, func() {
					f.killEntry(p)
					f.startEntry(p)
				})
			}
		}},
		{name: "everything restarted", entries: 4, warm: 5, disturb: func(f *testFleet, second int) {
			if second == 10 {
				f.disturb(f.cores[0].name, f.restartEverything)
			}
		}},
		{name: "everything restarted early", entries: 4, warm: 5, disturb: func(f *testFleet, second int) {
			if second == 1 {
				f.disturb(f.cores[0].name, f.restartEverything)
			}
		}},
		{name: "nothing completed before", entries: 4},
		{name: "nothing completed before, many entry hosts", entries: 30},
		{name: "75 entry hosts", entries: 75, warm: 5},
		{name: "long answers", entries: 7, warm: 5, long: true},
		{name: "long answers, nothing completed before", entries: 7, long: true},
		{name: "with a rare sound part", entries: 4, warm: 5, companion: "dd"},
		{name: "with a rare sound part, nothing completed before", entries: 4, companion: "dd"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 6, fleetSize{entries: c.entries, plain: 2, engines: 14})
				p := &partPlay{fleet: f, bad: "bad0", companion: c.companion, long: c.long}
				if c.long {
					f.prefill = 600 * time.Millisecond
				}
				p.play(c.warm, false, nil)
				p.began = time.Now()
				p.play(30, true, c.disturb)
				p.assert()
			})
		})
	}
}
