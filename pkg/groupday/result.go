package groupday

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
)

// DayResult is the downtime and the cost of a day.
type DayResult struct {
	Downtime        time.Duration // sum over the groups
	DowntimeByCause []group.CauseDowntime
	StrandedTime    time.Duration // sum over the hosts
	LoadsCompleted  uint64
	LoadsWasted     uint64
	Cost            DecisionCost
}

func newResult(before, after group.Stats, c DecisionCost) DayResult {
	r := DayResult{
		Downtime:       after.DowntimeTotal - before.DowntimeTotal,
		StrandedTime:   after.StrandedTime - before.StrandedTime,
		LoadsCompleted: after.LoadsDone - before.LoadsDone,
		LoadsWasted:    after.LoadsWasted - before.LoadsWasted,
		Cost:           c,
	}
	for i, down := range after.Downtime {
		down.Time -= before.Downtime[i].Time
		r.DowntimeByCause = append(r.DowntimeByCause, down)
	}
	return r
}

// Add returns the sum of two results.
func (r DayResult) Add(o DayResult) DayResult {
	sum := DayResult{
		Downtime:       r.Downtime + o.Downtime,
		StrandedTime:   r.StrandedTime + o.StrandedTime,
		LoadsCompleted: r.LoadsCompleted + o.LoadsCompleted,
		LoadsWasted:    r.LoadsWasted + o.LoadsWasted,
		Cost:           r.Cost.plus(o.Cost),
	}
	for i, down := range o.DowntimeByCause {
		if i < len(r.DowntimeByCause) {
			down.Time += r.DowntimeByCause[i].Time
		}
		sum.DowntimeByCause = append(sum.DowntimeByCause, down)
	}
	return sum
}
