package gates

import (
	"os"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
)

// small makes a scenario of a third of the size.
func small(s scenario) scenario {
	s.gates, s.groups, s.prefixes = 3, 6, 40
	return s
}

// TestOverload checks that goodput at three times the capacity stays above 90%
// of its peak, and that none of it is left behind.
func TestOverload(t *testing.T) {
	peak := 0
	for _, load := range []float64{1, 1.5} {
		peak = max(peak, simulate(small(overloaded(load)), product).whole)
	}
	at3 := simulate(small(overloaded(3)), product).whole
	t.Logf("peak %d, at three times the capacity %d", peak, at3)
	if float64(at3) < 0.9*float64(peak) {
		t.Errorf("goodput falls from %d to %d", peak, at3)
	}
	after := simulate(small(afterwards(3)), product)
	if after.whole < after.offered*95/100 {
		t.Errorf("after the overload %d of %d requests are answered", after.whole, after.offered)
	}
	unguarded := policy{choice: chooseRouter, admit: admission.Unsafe{NoDeadlines: true}}
	if got := simulate(small(overloaded(3)), unguarded).whole; float64(got) >= 0.9*float64(peak) {
		t.Error("the check does not see the overload when the protection is off")
	}
}

// TestLargeOrganisation checks the whole answers' p95 of the others.
func TestLargeOrganisation(t *testing.T) {
	alone := simulate(small(steady(0.45)), product)
	beside := simulate(small(contended()), product)
	t.Logf("p95 alone %.0f ms, beside %.0f ms", millis(alone.total, 95), millis(beside.total, 95))
	if millis(beside.total, 95) > 1.2*millis(alone.total, 95) {
		t.Error("the others' p95 is above 1.2 times their unloaded figure")
	}
	unfair := policy{choice: chooseRouter, admit: admission.Unsafe{NoFairness: true}}
	if millis(simulate(small(contended()), unfair).total, 95) <= 1.2*millis(alone.total, 95) {
		t.Error("the check does not see the large organisation when the protection is off")
	}
}

// TestMeasures runs a short form of each policy; with SESAME_BENCH set it
// runs and prints the measures.
func TestMeasures(t *testing.T) {
	if os.Getenv("SESAME_BENCH") == "" {
		s := standard(0.6)
		s.gates, s.groups, s.end, s.leave, s.back, s.from = 3, 6, 12*time.Second, 3*time.Second, 6*time.Second, time.Second
		if got := simulate(s, product); got.whole == 0 || got.whole+got.refused+got.late != got.offered {
			t.Fatalf("%d offered, %d whole, %d refused, %d late", got.offered, got.whole, got.refused, got.late)
		}
		return
	}
	for _, m := range Measures() {
		began := time.Now()
		variants, err := m.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		t.Log(m.Name, time.Since(began))
		for _, v := range variants {
			t.Log("  ", v.Name)
			for _, f := range v.Figures {
				t.Logf("      %-36s %10.2f %s", f.Name, f.Value, f.Unit)
			}
		}
	}
}
