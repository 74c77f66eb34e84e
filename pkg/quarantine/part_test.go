package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/view"
)

type fs = []view.Fingerprint

// under returns the end of upstream n under a request with an accused part.
func under(n int, request view.Fingerprint) Crash {
	c := crashNumber(n)
	c.Request = request
	return c
}

// accuse makes parts suspects at 0 ms.
func accuse(t *testing.T, parts ...view.Fingerprint) List {
	t.Helper()
	var l List
	for _, p := range parts {
		l = mustApply(t, l, Change{Kind: RecordCrashes, Fingerprint: p, Crashes: []Crash{under(1, "r1"), under(2, "r2")}})
	}
	return l
}

func grantParts(trial string, nowMS int64, request view.Fingerprint, parts ...view.Fingerprint) Change {
	return Change{Kind: GrantTrial, NowMS: nowMS, Fingerprint: request, Parts: parts, Trial: trial, UntilMS: nowMS + 4000}
}

// crashIn ends upstream n in a granted trial.
func crashIn(trial string, nowMS int64, n int, request view.Fingerprint) Change {
	return Change{Kind: CrashTrial, NowMS: nowMS, Fingerprint: request, Crashes: []Crash{under(n, request)}, Trial: trial, Convict: true}
}

func TestPartIsASuspectOnlyAfterCrashesUnderTwoRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes []Crash
		want    bool
	}{
		{"one request", []Crash{under(1, "a"), under(2, "a"), under(3, "a"), under(4, "a")}, false},
		{"two requests", []Crash{under(1, "a"), under(2, "b")}, true},
		{"two requests on one upstream", []Crash{under(1, "a"), under(1, "b")}, false},
		{"two on the first, one of them on the second", []Crash{under(1, "a"), under(1, "b"), under(2, "a")}, true},
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

func TestPartIsConvictedByTwoTrialsOfDifferentRequests(t *testing.T) {
	l := accuse(t, "x")
	for i, request := range (fs{"r3", "r4"}) {
		if l.Find("x").Refused(int64(i) * 40_000) {
			t.Fatalf("refused after %d trials", i)
		}
		nowMS, trial := int64(i)*40_000+2000, fmt.Sprint("t", i)
		l = mustApply(t, l, grantParts(trial, nowMS, request, "x"), crashIn(trial, nowMS+100, 10+i, request))
		if _, err := l.Apply([]Change{grantParts("again", nowMS+20_000, request, "x")}); err == nil {
			t.Fatalf("trial %d: another one of the same request", i)
		}
	}
	if _, err := l.Apply([]Change{grantParts("t9", 50_000, "r5", "x")}); !eris.Is(err, ErrRefused) {
		t.Errorf("trial after the conviction: %v", err)
	}
	if at := l.RetryAtMS(50_000, fs{"r5", "x"}); at != 42_000+convictedPause.Milliseconds() {
		t.Errorf("may be tried again at %d", at)
	}
	mustApply(t, l, grantParts("t9", 42_000+convictedPause.Milliseconds(), "r5", "x"))
}

func TestNewSuspectPartWaitsForItsFirstTrial(t *testing.T) {
	l := accuse(t, "x")
	if _, err := l.Apply([]Change{grantParts("t", partTrialDelay.Milliseconds()-1, "r3", "x")}); !eris.Is(err, ErrTrialRunning) {
		t.Errorf("trial at once: %v", err)
	}
	mustApply(t, l, grantParts("t", partTrialDelay.Milliseconds(), "r3", "x"))
}

func TestTrialIsGrantedForAllSuspectsOrNone(t *testing.T) {
	l := mustApply(t, accuse(t, "x", "y"), grantParts("a", 2000, "r3", "x"))
	next, err := l.Apply([]Change{grantParts("b", 2500, "r4", "x", "y")})
	if !eris.Is(err, ErrTrialRunning) || next.Find("y").Trial != "" {
		t.Errorf("trial of both: %v, %+v", err, next.Find("y"))
	}
	mustApply(t, l, grantParts("b", 2500, "r4", "y", "never accused"))
}

func TestPartsOfOneTrialAreUndecidedUntilTheSoundOneCompletes(t *testing.T) {
	l := accuse(t, "first", "x")
	for i, request := range (fs{"r3", "r4"}) {
		trial := fmt.Sprint("t", i)
		l = mustApply(t, l, grantParts(trial, int64(2000+1000*i), request, "first", "x"), crashIn(trial, int64(2100+1000*i), 10+i, request))
	}
	if l.Find("first").Refused(4000) || l.Find("x").Refused(4000) {
		t.Error("a verdict without evidence")
	}
	if _, err := l.Apply([]Change{grantParts("t2", 4000, "r5", "first", "x")}); !eris.Is(err, ErrTrialRunning) {
		t.Errorf("third trial of both: %v", err)
	}
	l = mustApply(t, l, grantParts("t3", 4000, "r6", "first")) // a sound request
	l = mustApply(t, l, Change{Kind: Clear, NowMS: 4500, Fingerprint: "first"})
	if !l.Find("x").Refused(4500) || l.Find("first") != nil {
		t.Error("the part that is left is not convicted")
	}
}

func TestSoundPartOfTwoCrashingOnesIsNotConvicted(t *testing.T) {
	l := accuse(t, "sound", "x", "y")
	l = mustApply(t, l, grantParts("a", 2000, "r3", "sound", "x"), crashIn("a", 2100, 10, "r3"))
	l = mustApply(t, l, grantParts("b", 3000, "r4", "sound", "y"), crashIn("b", 3100, 11, "r4"))
	if l.Find("sound").Refused(4000) {
		t.Error("convicted")
	}
	mustApply(t, l, grantParts("c", 4000, "r5", "sound"))
}

// TestSoundRequestsGetATrialBesideTwoCrashingParts: everything is a suspect, and what is sound is in
// each crashed trial.
func TestSoundRequestsGetATrialBesideTwoCrashingParts(t *testing.T) {
	l := accuse(t, "first", "second", "a", "b", "x", "y")
	l = mustApply(t, l, grantParts("t0", 2000, "r3", "first", "second", "x", "a"), crashIn("t0", 2100, 10, "r3"))
	l = mustApply(t, l, grantParts("t1", 3000, "r4", "first", "second", "y", "b"), crashIn("t1", 3100, 11, "r4"))
	if _, err := l.Apply([]Change{grantParts("t2", 4000, "r5", "first", "second", "x", "b")}); !eris.Is(err, ErrTrialRunning) {
		t.Errorf("third trial with a crashing part: %v", err)
	}
	mustApply(t, l, grantParts("t3", 4000, "r6", "first", "second", "b"))
}

func TestPartThatWasNoSuspectMayExplainACrashedTrial(t *testing.T) {
	l := accuse(t, "sound")
	for i, request := range (fs{"r3", "r4"}) {
		nowMS, trial := int64(2000+20_000*i), fmt.Sprint("t", i)
		l = mustApply(t, l, grantParts(trial, nowMS, request, "sound", "x"), crashIn(trial, nowMS+100, 10+i, request))
	}
	if l.Find("sound").Refused(23_000) || l.Find("x") == nil {
		t.Error("the crashes are held against the suspect alone")
	}
}

func TestTrialsOnOneUpstreamShareItsEnd(t *testing.T) {
	l := mustApply(t, accuse(t, "sound", "x"), grantParts("a", 2000, "r3", "sound"), grantParts("b", 2000, "r4", "x"))
	l = mustApply(t, l, crashIn("a", 2100, 10, "r3"), crashIn("b", 2100, 10, "r4"))
	l = mustApply(t, l, grantParts("c", 22_000, "r5", "sound"), crashIn("c", 22_100, 11, "r5"))
	l = mustApply(t, l, grantParts("d", 23_000, "r6", "x"), crashIn("d", 23_100, 12, "r6"))
	for _, f := range (fs{"sound", "x"}) {
		if e := l.Find(f); e.Refused(23_200) || e.CrashedTrials != 2 {
			t.Errorf("%s: %+v", f, e)
		}
	}
	l = mustApply(t, l, Change{Kind: Clear, Fingerprint: "sound"})
	if !l.Find("x").Refused(23_200) {
		t.Error("the part that is left is not convicted")
	}
}

func TestPartsThatCrashedATrialAreTriedOneAtATime(t *testing.T) {
	l := mustApply(t, accuse(t, "x", "y", "z"), grantParts("a", 2000, "r3", "x"), grantParts("b", 2000, "r4", "y"))
	l = mustApply(t, l, crashIn("a", 2100, 10, "r3"), crashIn("b", 2100, 10, "r4"))
	l = mustApply(t, l, grantParts("c", 3000, "r5", "x"), grantParts("d", 3000, "r6", "z"))
	if _, err := l.Apply([]Change{grantParts("e", 3000, "r7", "y")}); !eris.Is(err, ErrTrialRunning) {
		t.Errorf("trial beside another one: %v", err)
	}
	l = mustApply(t, l, crashIn("c", 3100, 11, "r5"))
	mustApply(t, l, grantParts("e", 3200, "r7", "y"))
}

func TestPartThatRanBesideATrialMayExplainItsEnd(t *testing.T) {
	l := accuse(t, "sound")
	for i, request := range (fs{"r3", "r4"}) {
		nowMS, trial := int64(2000+40_000*i), fmt.Sprint("t", i)
		l = mustApply(t, l, grantParts(trial, nowMS, request, "sound"), crashIn(trial, nowMS+100, 10+i, request))
	}
	if !l.Find("sound").Refused(43_000) {
		t.Error("not convicted by two trials of its own")
	}
	beside := Change{Kind: RecordCrashes, NowMS: 43_000, Fingerprint: "x", Crashes: []Crash{under(10, "r5"), under(12, "r6")}}
	l = mustApply(t, l, beside)
	if l.Find("sound").Refused(43_000) {
		t.Error("refused although another suspect ran beside one of the trials")
	}
}

func TestRequestUnderSuspicionWaitsForItsParts(t *testing.T) {
	l := mustApply(t, accuse(t, "x"), Change{Kind: RecordCrashes, Fingerprint: "r1", Crashes: []Crash{crashNumber(1), crashNumber(2)}})
	if _, err := l.Apply([]Change{grantParts("a", 5000, "r1", "x")}); !eris.Is(err, ErrTrialRunning) {
		t.Errorf("trial of the request and its part: %v", err)
	}
	l = mustApply(t, l, Change{Kind: Clear, Fingerprint: "x"})
	mustApply(t, l, grantParts("a", 5000, "r1", "x"))
}

func TestTrialThatDidNotRunIsGivenBack(t *testing.T) {
	l := accuse(t, "x")
	for i := range 5 {
		trial := fmt.Sprint("t", i)
		l = mustApply(t, l, grantParts(trial, 2000, "r3", "x"), Change{Kind: EndTrial, Trial: trial, NotRun: true})
	}
	for i := range MaxTrials {
		trial := fmt.Sprint("u", i)
		l = mustApply(t, l, grantParts(trial, 3000, "r3", "x"), Change{Kind: EndTrial, Trial: trial})
	}
	if _, err := l.Apply([]Change{grantParts("v", 3000, "r3", "x")}); !eris.Is(err, ErrTrialRunning) {
		t.Errorf("trial after %d that ran: %v", MaxTrials, err)
	}
	mustApply(t, l, grantParts("v", 3000+undecidedPause.Milliseconds(), "r3", "x"))
}

func TestTrialThatDidNotRunMakesNoPause(t *testing.T) {
	l := accuse(t, "sound", "x")
	l = mustApply(t, l, grantParts("a", 2000, "r3", "sound", "x"), crashIn("a", 2100, 10, "r3"))
	l = mustApply(t, l, grantParts("b", 3000, "r4", "sound", "x"), crashIn("b", 3100, 11, "r4"))
	l = mustApply(t, l, grantParts("c", 63_000, "r5", "sound", "x"), Change{Kind: EndTrial, Trial: "c", NotRun: true})
	mustApply(t, l, grantParts("d", 63_100, "r6", "sound", "x"))
}

func TestAssumedCrashInATrialDecidesNothingAboutParts(t *testing.T) {
	l := mustApply(t, accuse(t, "x"), grantParts("a", 2000, "r3", "x"))
	c := crashIn("a", 2100, 10, "r3")
	c.Convict = false
	l = mustApply(t, l, c)
	if e := l.Find("x"); e.Trial != "" || e.CrashedTrials != 0 || e.Trials != 1 {
		t.Errorf("%+v", e)
	}
}

func TestVerdictOnARequestIsTakenBackIfAConvictedPartEndedItsUpstream(t *testing.T) {
	l := mustApply(t, accuse(t, "x"), Change{Kind: RecordCrashes, Fingerprint: "f", Crashes: []Crash{crashNumber(1), crashNumber(2)}})
	l = mustApply(t, l, grant("w", 2000), grantParts("a", 2000, "r3", "x"))
	l = mustApply(t, l, Change{Kind: RecordCrashes, NowMS: 2100, Fingerprint: "f", Crashes: []Crash{crashNumber(10)}, Trial: "w", Convict: true, TrialCrash: crashNumber(10)})
	l = mustApply(t, l, crashIn("a", 2100, 10, "r3"))
	if !l.Find("f").Refused(2200) {
		t.Error("taken back before the part is convicted")
	}
	l = mustApply(t, l, grantParts("b", 3000, "r4", "x"), crashIn("b", 3100, 11, "r4"))
	if l.Find("f").Refused(3200) || !l.Find("x").Refused(3200) {
		t.Error("the verdict is kept")
	}
	l = mustApply(t, l, grant("v", 4000))
	l = mustApply(t, l, Change{Kind: RecordCrashes, NowMS: 4100, Fingerprint: "f", Crashes: []Crash{crashNumber(12)}, Trial: "v", Convict: true, TrialCrash: crashNumber(12)})
	if !l.Find("f").Refused(4200) {
		t.Error("not convicted by a crash of its own")
	}
}

func TestConvictedPartStaysInAFullList(t *testing.T) {
	l := accuse(t, "x")
	for i, request := range (fs{"r3", "r4"}) {
		trial := fmt.Sprint("t", i)
		l = mustApply(t, l, grantParts(trial, int64(2000+1000*i), request, "x"), crashIn(trial, int64(2100+1000*i), 10+i, request))
	}
	for i := range 2 * maxEntries {
		l = mustApply(t, l, Change{Kind: RecordCrashes, NowMS: int64(5000 + i), Fingerprint: view.Fingerprint(fmt.Sprintf("%06d", i)), Crashes: []Crash{crashNumber(1), crashNumber(2)}})
	}
	if len(l) != maxEntries || !l.Find("x").Refused(6000) {
		t.Errorf("%d entries, or the convicted part made room", len(l))
	}
}

func TestGuardJudgesRequestsByTheirParts(t *testing.T) {
	g := NewGuard()
	second := time.Second
	if j := g.Judge(second, 1000, "r9", fs{"x", "y"}); j.Verdict != Free || !slices.Equal(j.Unproven, fs{"x", "y"}) {
		t.Errorf("without a list: %+v", j)
	}
	l := accuse(t, "x", "y")
	g.PutInForce(second/2, l)
	g.Completed("y", NewProof(second/2+1, second))
	if completed := g.PutInForce(second, l); !slices.Equal(completed, fs{"y"}) {
		t.Errorf("completed: %v", completed)
	}
	if j := g.Judge(second, 500, "r9", fs{"x", "y"}); j.Verdict != NeedsTrial || !j.Waits || !slices.Equal(j.Parts, fs{"x"}) || !slices.Equal(j.Unproven, fs{"x"}) {
		t.Errorf("before the first trial is due: %+v", j)
	}
	if j := g.Judge(second, 2000, "r9", fs{"x"}); j.Verdict != NeedsTrial || j.Waits {
		t.Errorf("when it is due: %+v", j)
	}
	if j := g.Judge(second, 2000, "r9", fs{"y", "z"}); j.Verdict != Free {
		t.Errorf("without a suspect: %+v", j)
	}
	for i, request := range (fs{"r3", "r4"}) {
		trial := fmt.Sprint("t", i)
		l = mustApply(t, l, grantParts(trial, int64(2000+1000*i), request, "x"), crashIn(trial, int64(2100+1000*i), 10+i, request))
	}
	g.PutInForce(second, l)
	if j := g.Judge(second, 4000, "r9", fs{"y", "x"}); j.Verdict != MustRefuse || j.RetryAtMS != 3000+convictedPause.Milliseconds() {
		t.Errorf("with a convicted part: %+v", j)
	}
}

// TestOnlyTheCrashingPartIsConvicted plays requests with random parts, of which one ends each
// upstream, with reports that are repeated or lost, and leaders without memory.
func TestOnlyTheCrashingPartIsConvicted(t *testing.T) {
	pool := fs{"a", "b", "c", "d", "x"}
	rapid.Check(t, func(t *rapid.T) {
		var l List
		tracker := NewTracker(0)
		nowMS, crashes, granted := int64(0), 0, 0
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			nowMS += rapid.Int64Range(0, 500).Draw(t, "wait")
			now := time.Duration(nowMS) * time.Millisecond
			parts := slices.DeleteFunc(slices.Clone(pool), func(view.Fingerprint) bool { return rapid.Bool().Draw(t, "without") })
			request, trial := view.Fingerprint(fmt.Sprint("r", step)), ""
			if slices.ContainsFunc(parts, func(f view.Fingerprint) bool { return l.Find(f) != nil }) {
				next, err := l.Apply([]Change{grantParts(fmt.Sprint("t", step), nowMS, request, parts...)})
				if err != nil {
					continue
				}
				l, trial = next, fmt.Sprint("t", step)
			}
			if !slices.Contains(parts, "x") {
				if rapid.IntRange(0, 9).Draw(t, "completes") == 0 {
					l, _ = l.Apply([]Change{{Kind: EndTrial, NowMS: nowMS, Trial: trial}})
					continue
				}
				for _, f := range parts {
					tracker.Prove(f, NewProof(now, now))
					l, _ = l.Apply([]Change{{Kind: Clear, NowMS: nowMS, Fingerprint: f}})
				}
				continue
			}
			crashes++
			if trial != "" {
				granted++
			}
			for range rapid.IntRange(1, 2).Draw(t, "reports") {
				for _, f := range parts {
					if known, suspicious := tracker.Observe(now, f, SeenCrash{under(crashes, request), now, now}); len(known) > 0 && (l.Find(f) != nil || suspicious) {
						l, _ = l.Apply([]Change{{Kind: RecordCrashes, NowMS: nowMS, Fingerprint: f, Crashes: known}})
					}
				}
				l, _ = l.Apply([]Change{crashIn(trial, nowMS, crashes, request)})
			}
			if rapid.IntRange(0, 19).Draw(t, "new leader") == 0 {
				tracker = NewTracker(now)
			}
			for _, e := range l {
				if e.Fingerprint != "x" && e.Refused(nowMS) {
					t.Fatalf("%s is convicted", e.Fingerprint)
				}
			}
			if granted > 6 {
				t.Fatalf("%d trials with the crashing part in %d ms", granted, nowMS)
			}
		}
	})
}
