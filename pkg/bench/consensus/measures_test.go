package consensus

import (
	"flag"
	"testing"
	"time"
)

var full = flag.Bool("full", false, "measure in the sizes of the published figures")

// TestMeasuresRun checks that each measure runs, in a small size, and has one baseline.
func TestMeasuresRun(t *testing.T) {
	sizes := Sizes{
		CommitTime:        20 * time.Millisecond,
		Clients:           []int{2},
		Elections:         3,
		RestartLogLengths: []int{20},
		Changes:           200,
	}
	if *full {
		sizes = DefaultSizes()
	}
	for _, m := range MeasuresWithSizes(sizes) {
		t.Run(m.Name, func(t *testing.T) {
			variants, err := m.Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			baselines := 0
			for _, v := range variants {
				if v.Baseline {
					baselines++
				}
				t.Log(v)
			}
			if baselines != 1 {
				t.Fatalf("%d baselines, want 1", baselines)
			}
		})
	}
}
