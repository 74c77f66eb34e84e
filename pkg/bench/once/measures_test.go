package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
)

// testScale is large enough only to show that the measures run.
var testScale = scale{calls: 2, duration: 50 * time.Millisecond, records: 200, seeds: 1}

func TestMeasuresRun(t *testing.T) {
	for _, m := range measures(testScale) {
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
				if len(v.Figures) == 0 {
					t.Errorf("%s has no figures", v.Name)
				}
			}
			if baselines != 1 {
				t.Errorf("%d baselines, want 1", baselines)
			}
		})
	}
}

// BenchmarkFigures prints the published figures:
//
//	go test -run '^$' -bench Figures -benchtime 1x ./pkg/bench/once
func BenchmarkFigures(b *testing.B) {
	for _, m := range Measures() {
		b.Run(m.Name, func(b *testing.B) {
			for range b.N {
				variants, err := m.Run(b.Context())
				if err != nil {
					b.Fatal(err)
				}
				printFigures(variants)
			}
		})
	}
}

func printFigures(variants []bench.Variant) {
	for _, v := range variants {
		for _, f := range v.Figures {
			fmt.Printf("%-45s %-60s %12.3f %s\n", v.Name, f.Name, f.Value, f.Unit)
		}
	}
}
