package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/view"
)

func crashNumber(n int) Crash { return Crash{Upstream: fmt.Sprint("u", n), StartedMS: int64(n)} }

func mustApply(t *testing.T, l List, cs ...Change) List {
	t.Helper()
	next, err := l.Apply(cs)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func suspect(t *testing.T, crashes int) List {
	t.Helper()
	var cs []Crash
	for i := range crashes {
		cs = append(cs, crashNumber(i))
	}
	return mustApply(t, nil, Change{Kind: RecordCrashes, NowMS: 1000, Fingerprint: "f", Crashes: cs})
}

func grant(trial string, nowMS int64) Change {
	return Change{Kind: GrantTrial, NowMS: nowMS, Fingerprint: "f", Trial: trial, UntilMS: nowMS + 4000}
}

func TestSuspectGetsOneTrialAtATime(t *testing.T) {
	l := mustApply(t, suspect(t, 2), grant("a", 2000))
	if _, err := l.Apply([]Change{grant("b", 3000)}); !eris.Is(err, ErrTrialRunning) {
		t.Errorf("second trial: %v", err)
	}
	mustApply(t, l, grant("a", 3000)) // sent again
	mustApply(t, l, grant("b", 6000)) // the first one is over
	ended := mustApply(t, l, Change{Kind: EndTrial, Fingerprint: "f", Trial: "a"})
	mustApply(t, ended, grant("b", 3000))
	if _, err := List(nil).Apply([]Change{grant("a", 2000)}); !eris.Is(err, ErrNotSuspect) {
		t.Errorf("trial of an unknown request: %v", err)
	}
}

func TestKnownCrashInATrialConvicts(t *testing.T) {
	l := mustApply(t, suspect(t, 2), grant("a", 2000))
	l = mustApply(t, l, Change{Kind: RecordCrashes, NowMS: 2500, Fingerprint: "f", Crashes: []Crash{crashNumber(7)}, Trial: "a", Convict: true})
	if _, err := l.Apply([]Change{grant("b", 3000)}); !eris.Is(err, ErrRefused) {
		t.Errorf("trial after the conviction: %v", err)
	}
}

func TestAssumedCrashesInTwoTrialsConvict(t *testing.T) {
	l := suspect(t, 2)
	for i, trial := range []string{"a", "b"} {
		if l.Find("f").Refused(2000) {
			t.Fatalf("refused after %d trials", i)
		}
		l = mustApply(t, l, grant(trial, 2000))
		l = mustApply(t, l, Change{Kind: RecordCrashes, NowMS: 2500, Fingerprint: "f", Crashes: []Crash{crashNumber(7 + i)}, Trial: trial})
		l = mustApply(t, l, Change{Kind: RecordCrashes, NowMS: 2500, Fingerprint: "f", Crashes: []Crash{crashNumber(7 + i)}, Trial: trial}) // sent again
	}
	if _, err := l.Apply([]Change{grant("c", 3000)}); !eris.Is(err, ErrRefused) {
		t.Errorf("trial after the conviction: %v", err)
	}
	day := RefusedTTL.Milliseconds()
	if !l.Find("f").Refused(2500+day-1) || l.Find("f").Refused(2500+day) {
		t.Error("the conviction does not end after its time")
	}
}

func TestClearedRequestIsFree(t *testing.T) {
	l := mustApply(t, suspect(t, 5), Change{Kind: Clear, Fingerprint: "f"})
	if l.Find("f") != nil {
		t.Error("still under quarantine")
	}
}

func TestListIsBounded(t *testing.T) {
	var l List
	for i := range 3 * maxEntries {
		l = mustApply(t, l, Change{Kind: RecordCrashes, NowMS: int64(i), Fingerprint: view.Fingerprint(fmt.Sprintf("%06d", i)), Crashes: []Crash{crashNumber(1), crashNumber(2)}})
	}
	if len(l) != maxEntries || l.Find(view.Fingerprint(fmt.Sprintf("%06d", 3*maxEntries-1))) == nil || l.Find("000000") != nil {
		t.Errorf("%d entries, the newest or the oldest is wrong", len(l))
	}
}

// TestCrashingRequestIsNeverGrantedMoreThanMaxTrialsAfterItsThirdCrash plays any order of reports,
// repeated reports, lost reports, trials that end or are lost, and leaders without memory.
func TestCrashingRequestIsNeverGrantedMoreThanMaxTrialsAfterItsThirdCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l List
		tracker := NewTracker(0)
		nowMS, crashes, trials, grantedAfter := int64(0), 0, 0, 0
		var open []string
		report := func(n int, trial string) {
			now := time.Duration(nowMS) * time.Millisecond
			known, suspicious := tracker.Observe(now, "f", seen(n, now, now))
			if l.Find("f") == nil && !suspicious {
				return
			}
			l, _ = l.Apply([]Change{{Kind: RecordCrashes, NowMS: nowMS, Fingerprint: "f", Crashes: known, Trial: trial, Convict: rapid.Bool().Draw(t, "known")}})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			nowMS += rapid.Int64Range(0, 3000).Draw(t, "wait")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0: // a free run, as long as the request is not under quarantine
				if l.Find("f") == nil {
					crashes++
					report(crashes, "")
				}
			case 1:
				trials++
				name := fmt.Sprint("t", trials)
				next, err := l.Apply([]Change{{Kind: Expire, NowMS: nowMS}, grant(name, nowMS)})
				if l = next; err == nil {
					open = append(open, name)
					if e := l.Find("f"); len(e.Crashes) >= LimitedCrashes {
						grantedAfter++
					}
				}
			case 2: // a trial ends its upstream
				if len(open) > 0 {
					crashes++
					report(crashes, open[0])
					open = open[1:]
				}
			case 3: // a trial ends without a verdict, or its report is lost
				if len(open) > 0 {
					if rapid.Bool().Draw(t, "told") {
						l, _ = l.Apply([]Change{{Kind: EndTrial, Fingerprint: "f", Trial: open[0]}})
					}
					open = open[1:]
				}
			case 4: // a report arrives again
				if crashes > 0 {
					report(rapid.IntRange(1, crashes).Draw(t, "again"), "")
				}
			case 5:
				tracker = NewTracker(time.Duration(nowMS) * time.Millisecond)
			}
			if grantedAfter > MaxTrials {
				t.Fatalf("%d trials granted after the third crash", grantedAfter)
			}
		}
	})
}

func TestAssumedCrashesNeedMoreOfThem(t *testing.T) {
	assumed := func(n int) Crash {
		c := crashNumber(n)
		c.Assumed = true
		return c
	}
	for _, c := range []struct {
		name    string
		crashes []Crash
		want    bool
	}{
		{"one known", []Crash{crashNumber(1)}, false},
		{"two known", []Crash{crashNumber(1), crashNumber(2)}, true},
		{"one known, one assumed", []Crash{crashNumber(1), assumed(2)}, false},
		{"one known, two assumed", []Crash{crashNumber(1), assumed(2), assumed(3)}, true},
		{"two assumed", []Crash{assumed(1), assumed(2)}, false},
		{"three assumed", []Crash{assumed(1), assumed(2), assumed(3)}, true},
		{"one assumed, then known, and another", []Crash{assumed(1), crashNumber(1), crashNumber(2)}, true},
		{"one known, then assumed", []Crash{crashNumber(1), assumed(1), assumed(1), assumed(1)}, false},
	} {
		var known []Crash
		for _, crash := range c.crashes {
			known, _ = addCrash(known, crash)
		}
		if got := Suspicious(known); got != c.want {
			t.Errorf("%s: suspicious %v, want %v", c.name, got, c.want)
		}
	}
}
