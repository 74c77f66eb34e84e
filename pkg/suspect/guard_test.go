package suspect

import (
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

func TestGuard(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := view.New()
	g := NewGuard("g1", func() *view.View { return v })
	put := func(f view.Fingerprint, crashes int, isolate bool, trial view.GateName) {
		q := view.Quarantine{Fingerprint: f, Crashes: crashes, Isolate: isolate, Trial: trial, Until: view.Time(now.Add(time.Hour).UnixNano())}
		v.Quarantines.Put(f, q, 1)
	}
	check := func(f view.Fingerprint, want DecisionKind) {
		t.Helper()
		if got := g.Check(now, f).Kind; got != want {
			t.Fatalf("%s is %s, want %s", f, got, want)
		}
	}
	start := func(f view.Fingerprint, host view.HostName, want bool) *Run {
		t.Helper()
		r, ok := g.Start(now, f, "o", host, 1)
		if ok != want {
			t.Fatalf("start of %s on %s: %v, want %v", f, host, ok, want)
		}
		return r
	}

	check("f", Unrestricted)
	f, a := start("f", "u1", true), start("a", "u1", true)
	f.End(now, RunBroken)
	a.End(now, RunAbandoned)
	report, ok := g.CrashReport(now, "u1", 1)
	if !ok || len(report.Running) != 2 || report.Running[0].Trial {
		t.Fatalf("report after all runs ended: %+v", report)
	}
	put("f", 1, true, "g1")
	put("a", 1, true, "g1")
	put("e", 1, true, "g2")
	put("c", 2, false, "g1")
	check("e", TrialElsewhere)
	check("c", Refused)
	check("f", StartTrial)
	f = start("f", "u2", true)
	check("f", TrialPending)
	start("a", "u2", false)
	start("c", "u3", false)
	a = start("a", "u3", true)
	a.End(now, RunCompleted)
	if well := g.TakeCleared(); len(well) != 1 || well[0] != "a" {
		t.Fatalf("cleared suspects: %v", well)
	}
	f.End(now, RunBroken)
	check("f", TrialPending)
	report, _ = g.CrashReport(now, "u2", 1)
	if len(report.Running) != 1 || !report.Running[0].Trial {
		t.Fatalf("report of the trial: %+v", report)
	}
	put("f", 2, true, "g1")
	check("f", StartTrial)
	now = now.Add(time.Minute)
	if _, ok := g.CrashReport(now, "u2", 1); ok {
		t.Fatal("a request that ended a minute ago is reported as running")
	}
}

func TestRunThatBeganBeforeASuspicionDoesNotClearIt(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := view.New()
	g := NewGuard("g1", func() *view.View { return v })
	earlier, ok := g.Start(now, "f", "o", "u1", 1)
	if !ok {
		t.Fatal("not started")
	}
	v.Quarantines.Put("f", view.Quarantine{Fingerprint: "f", Crashes: 1, Isolate: true, Trial: "g1", Until: view.Time(now.Add(time.Hour).UnixNano())}, 1)
	earlier.End(now.Add(time.Second), RunCompleted)
	if cleared := g.TakeCleared(); len(cleared) > 0 {
		t.Errorf("cleared %v", cleared)
	}
	if trial, ok := g.Start(now.Add(time.Second), "f", "o", "u2", 1); !ok || !trial.Trial() {
		t.Error("no trial")
	}
}

// A trial breaks off while its upstream stays up. The suspect must be tried again soon and not
// only when its quarantine expires.
func TestBrokenTrialWithoutCrashIsRepeated(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := view.New()
	g := NewGuard("g1", func() *view.View { return v })
	q := view.Quarantine{Fingerprint: "f", Crashes: 1, Isolate: true, Trial: "g1", Until: view.Time(now.Add(time.Hour).UnixNano())}
	v.Quarantines.Put("f", q, 1)
	try := func(host view.HostName) {
		t.Helper()
		r, ok := g.Start(now, "f", "o", host, 1)
		if !ok {
			t.Fatalf("no trial on %s: %s", host, g.Check(now, "f").Kind)
		}
		r.End(now, RunBroken)
		if kind := g.Check(now, "f").Kind; kind != TrialPending {
			t.Fatalf("right after the trial the suspect is %s", kind)
		}
	}
	try("u1")
	now = now.Add(crashDetectionTimeout + time.Second)
	try("u2")
	if _, ok := g.CrashReport(now, "u2", 1); !ok {
		t.Fatal("the trial is not in the crash report")
	}
	now = now.Add(crashDetectionTimeout + time.Second)
	if kind := g.Check(now, "f").Kind; kind != TrialPending {
		t.Fatalf("the crash is reported but not decided on, and the suspect is %s", kind)
	}
	now = now.Add(decisionTimeout)
	try("u3")
}
