package groupday

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
)

// Result is what a day cost.
type Result struct {
	Down        time.Duration // summed over groups
	ByCause     []group.CauseDowntime
	Stranded    time.Duration // summed over hosts
	LoadsDone   uint64
	LoadsWasted uint64
	Cost        Cost
}

func newResult(before, after group.Stats, c Cost) Result {
	r := Result{
		Down:        after.DowntimeTotal - before.DowntimeTotal,
		Stranded:    after.StrandedTime - before.StrandedTime,
		LoadsDone:   after.LoadsDone - before.LoadsDone,
		LoadsWasted: after.LoadsWasted - before.LoadsWasted,
		Cost:        c,
	}
	for i, down := range after.Downtime {
		down.Time -= before.Downtime[i].Time
		r.ByCause = append(r.ByCause, down)
	}
	return r
}

// Add sums two results up.
func (r Result) Add(o Result) Result {
	sum := Result{
		Down:        r.Down + o.Down,
		Stranded:    r.Stranded + o.Stranded,
		LoadsDone:   r.LoadsDone + o.LoadsDone,
		LoadsWasted: r.LoadsWasted + o.LoadsWasted,
		Cost:        r.Cost.sum(o.Cost),
	}
	for i, down := range o.ByCause {
		if i < len(r.ByCause) {
			down.Time += r.ByCause[i].Time
		}
		sum.ByCause = append(sum.ByCause, down)
	}
	return sum
}
