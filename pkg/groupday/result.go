package groupday

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
)

// DayResult is what a day cost.
type DayResult struct {
	Downtime        time.Duration // summed over groups
	DowntimeByCause []group.CauseDowntime
	StrandedTime    time.Duration // summed over hosts
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

// Add sums two results up.
func (r DayResult) Add(o DayResult) DayResult {
	sum := DayResult{
		Downtime:       r.Downtime + o.Downtime,
		StrandedTime:   r.StrandedTime + o.StrandedTime,
		LoadsCompleted: r.LoadsCompleted + o.LoadsCompleted,
		LoadsWasted:    r.LoadsWasted + o.LoadsWasted,
		Cost:           r.Cost.sum(o.Cost),
	}
	for i, down := range o.DowntimeByCause {
		if i < len(r.DowntimeByCause) {
			down.Time += r.DowntimeByCause[i].Time
		}
		sum.DowntimeByCause = append(sum.DowntimeByCause, down)
	}
	return sum
}
