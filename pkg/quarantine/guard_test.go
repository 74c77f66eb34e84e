package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const nowMS = 5000

func decide(g *Guard, now time.Duration, f view.Fingerprint) Verdict {
	return g.Judge(now, nowMS, f, nil).Verdict
}

func TestSecondCrashNeedsATrial(t *testing.T) {
	g := NewGuard()
	if g.Watches() {
		t.Error("watches without a crash")
	}
	g.Crashed(time.Second, "f", crashNumber(1))
	g.Crashed(time.Second, "f", crashNumber(1)) // the same end of the upstream
	if v := decide(g, time.Second, "f"); v != Free {
		t.Errorf("after one crash: %s", v)
	}
	g.Crashed(2*time.Second, "f", crashNumber(2))
	if v := decide(g, 3*time.Second, "f"); v != NeedsTrial || len(g.OwnCrashes(3 * time.Second)["f"]) != 2 {
		t.Errorf("after two crashes: %s", v)
	}
	if v := decide(g, 3*time.Second+SuspectTTL, "f"); v != Free {
		t.Errorf("after its time: %s", v)
	}
}

func TestCompletedRunClears(t *testing.T) {
	g := NewGuard()
	g.Crashed(0, "f", crashNumber(1))
	g.Crashed(0, "f", crashNumber(2))
	if !g.Completed(time.Second, "f") || decide(g, time.Second, "f") != Free {
		t.Error("not cleared by a completed run")
	}
	if g.Completed(time.Second, "other") {
		t.Error("reports a request that was never suspected")
	}
	if g.Crashed(2*time.Second, "f", crashNumber(3)) {
		t.Error("a crash counts although the request completed lately")
	}
	l := List{{Fingerprint: "f", Crashes: []Crash{crashNumber(1), crashNumber(2)}, LastCrashMS: nowMS, Convicted: true}}
	if harmless := g.PutInForce(2*time.Second, l); len(harmless) != 1 || decide(g, 2*time.Second, "f") != Free {
		t.Errorf("told %v", harmless)
	}
	later := 2*time.Second + completionTTL
	if v := decide(g, later, "f"); v != MustRefuse {
		t.Errorf("long after the completed run: %s", v)
	}
}

func TestGuardIsBounded(t *testing.T) {
	g := NewGuard()
	for i := range 3 * maxCompletions {
		f := view.Fingerprint(fmt.Sprint(i))
		g.Crashed(time.Duration(i), f, crashNumber(1))
	}
	if n := len(g.OwnCrashes(0)); n > maxOwnCrashes {
		t.Errorf("%d requests with crashes kept", n)
	}
	for i := range 3 * maxCompletions {
		g.Completed(time.Second, view.Fingerprint(fmt.Sprint(i)))
	}
	if n := len(g.complete[0]) + len(g.complete[1]); n > 2*maxCompletions {
		t.Errorf("%d completed requests kept", n)
	}
}

func TestTrackerIgnoresLateReportsOfAClearedRequest(t *testing.T) {
	tr := NewTracker()
	tr.Observe(0, "f", crashNumber(1))
	tr.Clear(time.Second, "f")
	if known := tr.Observe(2*time.Second, "f", crashNumber(2)); len(known) != 0 {
		t.Errorf("knows %v", known)
	}
	if known := tr.Observe(time.Second+clearanceTime, "f", crashNumber(3)); len(known) != 1 {
		t.Errorf("knows %v", known)
	}
	for i := range 2 * maxTracked {
		tr.Observe(time.Duration(i)*time.Microsecond, view.Fingerprint(fmt.Sprint(i)), crashNumber(1))
	}
	if len(tr.requests) > maxTracked {
		t.Errorf("%d requests tracked", len(tr.requests))
	}
}
