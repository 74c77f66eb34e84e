package groups

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/groupday"
)

// runFunc runs the variants of a measure.
type runFunc = func(context.Context) ([]bench.Variant, error)

// loadOrder forms all groups of the current fleet with each load order.
func loadOrder(context.Context) ([]bench.Variant, error) {
	var all []bench.Variant
	for _, v := range []variant{
		{name: "whole groups one after another", options: group.Options{LoadOrder: group.LoadSequential}},
		{name: "equal sharing", baseline: true, options: group.Options{LoadOrder: group.LoadConcurrent}},
	} {
		d := groupday.NewSimulation(groupday.CurrentFleet(), v.options, 1, nil)
		formed, err := d.FormGroups()
		if err != nil {
			return nil, err
		}
		all = append(all, bench.Variant{Name: v.name, Baseline: v.baseline, Figures: []bench.Figure{
			{Name: "group downtime", Value: d.Machine().Stats().DowntimeTotal.Seconds(), Unit: "s"},
			{Name: "all groups work after", Value: formed.Seconds(), Unit: "s"},
		}})
	}
	return all, nil
}
