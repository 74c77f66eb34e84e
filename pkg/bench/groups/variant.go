package groups

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/groupday"
)

// variant is one repair policy on one fleet.
type variant struct {
	name     string
	baseline bool
	fleet    groupday.Fleet
	options  group.Options
}

// simulateDays returns a run function that simulates the same days, drawn from seeds 1 to seeds, for
// each variant.
func simulateDays(faults groupday.FaultCounts, seeds int, variants []variant) func(context.Context) ([]bench.Variant, error) {
	return func(ctx context.Context) ([]bench.Variant, error) {
		var all []bench.Variant
		for _, v := range variants {
			r, err := v.simulate(ctx, faults, seeds)
			if err != nil {
				return nil, err
			}
			all = append(all, bench.Variant{
				Name:     v.name,
				Baseline: v.baseline,
				Figures:  figures(r, v.fleet, seeds),
			})
		}
		return all, nil
	}
}

// simulate runs one day for each seed and returns the sum of the results.
func (v variant) simulate(ctx context.Context, faults groupday.FaultCounts, seeds int) (groupday.DayResult, error) {
	var sum groupday.DayResult
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		if err := ctx.Err(); err != nil {
			return sum, err
		}
		d := groupday.NewSimulation(v.fleet, v.options, seed, stopwatch())
		if _, err := d.FormGroups(); err != nil {
			return sum, err
		}
		sum = sum.Add(d.RunDay(faults, seed))
	}
	return sum, nil
}

// figures returns the mean figures of a day.
func figures(r groupday.DayResult, f groupday.Fleet, seeds int) []bench.Figure {
	n := float64(seeds)
	all := []bench.Figure{
		{Name: "group downtime a day", Value: r.Downtime.Seconds() / n, Unit: "s"},
		{Name: "downtime of a group a day", Value: r.Downtime.Seconds() / n / float64(f.Copies), Unit: "s"},
	}
	for _, c := range r.DowntimeByCause {
		if c.Time > 0 {
			all = append(all, bench.Figure{Name: "downtime, " + c.Cause.String(), Value: c.Time.Seconds() / n, Unit: "s"})
		}
	}
	return append(all,
		bench.Figure{Name: "accelerators stranded", Value: r.StrandedTime.Seconds() / n, Unit: "s"},
		bench.Figure{Name: "loads done", Value: float64(r.LoadsCompleted) / n, Unit: ""},
		bench.Figure{Name: "loads wasted", Value: float64(r.LoadsWasted) / n, Unit: ""},
	)
}

func stopwatch() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}
