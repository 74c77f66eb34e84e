package groups

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/groupday"
)

const (
	domainOut  = 30 * time.Minute
	moveBound  = 2 * time.Hour
	pollChange = time.Second
)

// domainMove takes a failure domain of today's fleet out and back in, with its
// hosts kept as they are and with its hosts restarted meanwhile.
func domainMove(context.Context) ([]bench.Variant, error) {
	kept, err := move(false)
	if err != nil {
		return nil, err
	}
	restarted, err := move(true)
	if err != nil {
		return nil, err
	}
	restarted.Baseline = true
	return []bench.Variant{kept, restarted}, nil
}

func move(restart bool) (bench.Variant, error) {
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
	out := d.Machine().Stats()
	d.RunFor(domainOut / 2)
	if restart {
		d.RestartDomain("domain-00")
	}
	d.RunFor(domainOut / 2)
	d.SetDomainDrained("domain-00", false)
	back := wholeAgain(d)
	after := d.Machine().Stats()
	v.Figures = []bench.Figure{
		{Name: "groups that work while it is out", Value: float64(out.TakingWork), Unit: ""},
		{Name: "all groups work after its return", Value: back.Seconds(), Unit: "s"},
		{Name: "loads done", Value: float64(after.LoadsDone - before.LoadsDone), Unit: ""},
	}
	return v, nil
}

// wholeAgain plays until all groups work and tells how long that took.
func wholeAgain(d *groupday.Simulation) time.Duration {
	var passed time.Duration
	for passed < moveBound {
		if s := d.Machine().Stats(); s.TakingWork == s.Wanted {
			break
		}
		d.RunFor(pollChange)
		passed += pollChange
	}
	return passed
}
