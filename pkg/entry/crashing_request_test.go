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
	for _, at := range arrivals {
		if at.After(crashes[2].Add(contactTime)) {
			late++
		}
	}
	if late > maxRepeats {
		f.t.Errorf("%s was sent %d times later than %v after its third crash; it ended %d upstreams", c.key(), late, contactTime, len(crashes))
	}
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
