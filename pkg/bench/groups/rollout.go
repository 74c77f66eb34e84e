package groups

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/groupday"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// rollout changes the version of the current fleet: as many groups at a time as the weights store
// can supply, and all groups at once.
func rollout(context.Context) ([]bench.Variant, error) {
	batches, err := runRollout("as many at a time as the store feeds", group.Options{})
	if err != nil {
		return nil, err
	}
	once, err := runRollout("all at once", group.Options{Unsafe: group.Unsafe{IgnoreMinimum: true}})
	if err != nil {
		return nil, err
	}
	once.Baseline = true
	return []bench.Variant{batches, once}, nil
}

func runRollout(name string, o group.Options) (bench.Variant, error) {
	v := bench.Variant{Name: name}
	d := groupday.NewSimulation(groupday.CurrentFleet(), o, 1, nil)
	if _, err := d.FormGroups(); err != nil {
		return v, err
	}
	d.RunFor(10 * time.Minute)
	before := d.Machine().Stats()
	least := before.TakingWork
	d.PublishVersion("v2")
	var passed time.Duration
	for passed < recoveryTimeout && !rolledOut(d, "v2") {
		d.RunFor(pollInterval)
		passed += pollInterval
		least = min(least, d.Machine().Stats().TakingWork)
	}
	after := d.Machine().Stats()
	v.Figures = []bench.Figure{
		{Name: "fewest groups that work", Value: float64(least), Unit: ""},
		{Name: "done after", Value: passed.Seconds(), Unit: "s"},
		{Name: "group downtime", Value: (after.DowntimeTotal - before.DowntimeTotal).Seconds(), Unit: "s"},
	}
	return v, nil
}

// rolledOut reports whether all groups serve the given version.
func rolledOut(d *groupday.Simulation, version string) bool {
	for _, g := range d.Machine().Groups() {
		if g.Version != version || g.State != view.StateServing || g.Draining {
			return false
		}
	}
	return true
}
