package groups

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/groupday"
)

const (
	drainTime       = 30 * time.Minute
	recoveryTimeout = 2 * time.Hour
	pollInterval    = time.Second
)

// domainDrain drains a failure domain of the current fleet and restores it, once with the processes of
// its hosts left running and once with them restarted while drained.
func domainDrain(context.Context) ([]bench.Variant, error) {
	kept, err := drainAndRestore(false)
	if err != nil {
		return nil, err
	}
	restarted, err := drainAndRestore(true)
	if err != nil {
		return nil, err
	}
	restarted.Baseline = true
	return []bench.Variant{kept, restarted}, nil
}

func drainAndRestore(restart bool) (bench.Variant, error) {
	v := bench.Variant{Name: "hosts keep what they loaded"}
	if restart {
		v.Name = "hosts restarted while out"
	}
	f := groupday.CurrentFleet()
	d := groupday.NewSimulation(f, variant{}.options, 1, nil)
	if _, err := d.FormGroups(); err != nil {
		return v, err
	}
	before := d.Machine().Stats()
	d.SetDomainDrained("domain-00", true)
	whileDrained := d.Machine().Stats()
	d.RunFor(drainTime / 2)
	if restart {
		d.RestartDomain("domain-00")
	}
	d.RunFor(drainTime / 2)
	d.SetDomainDrained("domain-00", false)
	recoveryTime := runUntilAllTakeWork(d)
	after := d.Machine().Stats()
	v.Figures = []bench.Figure{
		{Name: "groups that work while it is out", Value: float64(whileDrained.TakingWork), Unit: ""},
		{Name: "all groups work after its return", Value: recoveryTime.Seconds(), Unit: "s"},
		{Name: "loads done", Value: float64(after.LoadsDone - before.LoadsDone), Unit: ""},
	}
	return v, nil
}

// runUntilAllTakeWork runs until all groups take work, at most recoveryTimeout, and returns the virtual
// time that this took.
func runUntilAllTakeWork(d *groupday.Simulation) time.Duration {
	var passed time.Duration
	for passed < recoveryTimeout {
		if s := d.Machine().Stats(); s.TakingWork == s.Wanted {
			break
		}
		d.RunFor(pollInterval)
		passed += pollInterval
	}
	return passed
}
