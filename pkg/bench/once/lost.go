package once

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	proved "github.com/sesamemux/sesamemux/pkg/prove/once"
)

// lost compares the upstreams that one bad request crashes in two minutes,
// with and without quarantine.
func (e effort) lost(context.Context) ([]bench.Variant, error) {
	var variants []bench.Variant
	for _, copies := range []int{1, 5} {
		for _, gates := range []int{1, 9} {
			for _, off := range []bool{true, false} {
				p := proved.CrashPlan{Gates: gates, Upstreams: 30, CrashingRequests: 1, Copies: copies, Duration: 2 * time.Minute, NoGuard: off}
				variants = append(variants, e.lostVariant(p))
			}
		}
	}
	variants[0].Baseline = true
	return variants, nil
}

func (e effort) lostVariant(p proved.CrashPlan) bench.Variant {
	var lost, worst, convicted int
	for seed := uint64(1); seed <= e.seeds; seed++ {
		r := proved.RunCrashes(seed, p)
		lost += r.CrashedUpstreams
		worst = max(worst, r.CrashedUpstreams)
		convicted += r.Convicted
	}
	guard := "quarantine"
	if p.NoGuard {
		guard = "no quarantine"
	}
	return bench.Variant{
		Name: fmt.Sprintf("%d gates, %d copies at once, %s", p.Gates, p.Copies, guard),
		Figures: []bench.Figure{
			{Name: "upstreams lost, mean", Value: float64(lost) / float64(e.seeds), Unit: "1"},
			{Name: "upstreams lost, most", Value: float64(worst), Unit: "1"},
			{Name: "innocent requests convicted", Value: float64(convicted), Unit: "1"},
		},
	}
}
