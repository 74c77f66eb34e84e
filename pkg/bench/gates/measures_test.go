package gates

import (
	"os"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
)

// small reduces a scenario to a third of its size.
func small(s scenario) scenario {
	s.gates, s.groups, s.prefixCount = 3, 6, 40
	return s
}

// TestOverload checks that goodput at three times the capacity stays above 90% of its peak, and that
// the overload has no lasting effect: afterwards at least 95% of the requests are answered.
func TestOverload(t *testing.T) {
	peak := 0
	for _, load := range []float64{1, 1.5} {
		peak = max(peak, simulate(small(duringOverload(load)), productPolicy).completed)
	}
	at3 := simulate(small(duringOverload(3)), productPolicy).completed
	t.Logf("peak %d, at three times the capacity %d", peak, at3)
	if float64(at3) < 0.9*float64(peak) {
		t.Errorf("goodput falls from a peak of %d to %d at three times the capacity", peak, at3)
	}
	after := simulate(small(afterOverload(3)), productPolicy)
	if after.completed < after.offered*95/100 {
		t.Errorf("after the overload %d of %d requests are answered", after.completed, after.offered)
	}
	unguarded := policy{choice: chooseRouter, unsafeAdmission: admission.Unsafe{NoDeadlines: true}}
	if got := simulate(small(duringOverload(3)), unguarded).completed; float64(got) >= 0.9*float64(peak) {
		t.Error("the check does not detect the overload with deadlines switched off")
	}
}

// TestLargeOrganisation checks that an organisation at ten times its share raises the others' p95 of
// whole answers by no more than a factor of 1.2.
func TestLargeOrganisation(t *testing.T) {
	alone := simulate(small(steadyLoad(0.45)), productPolicy)
	beside := simulate(small(contendedLoad()), productPolicy)
	t.Logf("p95 of the others: %.0f ms alone, %.0f ms beside the large organisation", millis(alone.wholeAnswer, 95), millis(beside.wholeAnswer, 95))
	if millis(beside.wholeAnswer, 95) > 1.2*millis(alone.wholeAnswer, 95) {
		t.Error("the others' p95 is above 1.2 times their unloaded figure")
	}
	unfair := policy{choice: chooseRouter, unsafeAdmission: admission.Unsafe{NoFairness: true}}
	if millis(simulate(small(contendedLoad()), unfair).wholeAnswer, 95) <= 1.2*millis(alone.wholeAnswer, 95) {
		t.Error("the check does not detect the large organisation with fairness switched off")
	}
}

// TestMeasures runs a short simulation and checks that each request ends in one way. With SESAME_BENCH
// set it runs and prints the measures instead.
func TestMeasures(t *testing.T) {
	if os.Getenv("SESAME_BENCH") == "" {
		s := standardScenario(0.6)
		s.gates, s.groups, s.endAt, s.leaveAt, s.returnAt, s.measureFrom = 3, 6, 12*time.Second, 3*time.Second, 6*time.Second, time.Second
		if got := simulate(s, productPolicy); got.completed == 0 || got.completed+got.refused+got.expired != got.offered {
			t.Fatalf("%d offered, %d completed, %d refused, %d expired", got.offered, got.completed, got.refused, got.expired)
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
