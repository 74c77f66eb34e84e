package admission

import (
	"math"
	"time"
)

// estimate follows the service time of requests by their cost and the rate at
// which they are started.
type estimate struct {
	perCost   float64       // smoothed nanoseconds of service for one unit of cost
	deviation float64       // smoothed distance of samples from it
	interval  float64       // smoothed nanoseconds between two starts under contention; 0: unknown
	last      time.Duration // the last start under contention
	open      bool          // last is set and work has been waiting since
}

const (
	// gain is the weight of a new sample.
	gain = 0.1
	// margin is how many deviations a request is given above the mean.
	margin = 1.5
)

func smooth(old, sample float64) float64 { return old + gain*(sample-old) }

// started takes a start; waiting tells whether more work is left.
func (e *estimate) started(now time.Duration, waiting bool) {
	if e.open {
		sample := float64(now - e.last)
		if e.interval == 0 {
			e.interval = sample
		}
		e.interval = smooth(e.interval, sample)
	}
	e.last, e.open = now, waiting
}

// finished takes the time of a request from its start to its end.
func (e *estimate) finished(d time.Duration, cost float64) {
	sample := float64(d) / cost
	e.deviation = smooth(e.deviation, math.Abs(sample-e.perCost))
	e.perCost = smooth(e.perCost, sample)
}

// service is the time that a request of a cost is expected to need, with its
// margin.
func (e *estimate) service(cost float64) time.Duration {
	return time.Duration((e.perCost + margin*e.deviation) * cost)
}

// wait is the time that n requests ahead at a share of the service need.
func (e *estimate) wait(n int, share float64) time.Duration {
	if share <= 0 {
		return 0
	}
	return time.Duration(float64(n) * e.interval / share)
}
