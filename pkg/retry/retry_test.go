package retry

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	base := Failure{Idempotent: true, Attempts: 1, TimeLeft: time.Second}
	with := func(change func(*Failure)) Failure {
		f := base
		change(&f)
		return f
	}
	for _, c := range []struct {
		name string
		f    Failure
		want Decision
	}{
		{"harmless", base, Retry},
		{"may have run", with(func(f *Failure) { f.Idempotent = false }), MayHaveRun},
		{"known not run", with(func(f *Failure) { f.Idempotent, f.NotRun = false, true }), Retry},
		{"two crashes", with(func(f *Failure) { f.Crashes = 2 }), TooManyCrashes},
		{"many attempts", with(func(f *Failure) { f.Attempts = MaxAttempts }), TooManyAttempts},
		{"deadline", with(func(f *Failure) { f.TimeLeft = 0 }), DeadlineExceeded},
	} {
		b := NewBudget(0.1, 1)
		b.Begin()
		if got := Decide(c.f, b); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

func TestBudgetIsAShareOfLiveRequests(t *testing.T) {
	b := NewBudget(0.1, 2)
	for range 50 {
		b.Begin()
	}
	taken := 0
	for b.TryAcquire(false) {
		taken++
	}
	if taken != 5 {
		t.Fatalf("%d retries for 50 live requests, want 5", taken)
	}
	if !b.TryAcquire(true) {
		t.Error("a retry of what did not run is bounded like others")
	}
	b.End(6)
	if !b.TryAcquire(false) {
		t.Error("retries that ended still count")
	}
}
