package gates

import (
	"os"
	"testing"
	"time"
)

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
