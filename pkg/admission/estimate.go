package admission

import (
	"math"
	"time"
)

// serviceEstimate estimates the service time of requests from their cost, and the rate at which
// requests start.
type serviceEstimate struct {
	perCost       float64       // smoothed service time per unit of cost, in nanoseconds
	deviation     float64       // smoothed absolute deviation of samples from perCost
	startInterval float64       // smoothed nanoseconds between two starts under contention; 0 if unknown
	lastStart     time.Duration // time of the last start
	contended     bool          // lastStart is set and requests have been waiting since then
}

const (
	// smoothingFactor is the weight of a new sample.
	smoothingFactor = 0.1
	// deviationMargin is how many deviations above the mean a request is allowed for.
	deviationMargin = 1.5
)

func smooth(old, sample float64) float64 { return old + smoothingFactor*(sample-old) }

// started records a start. waiting reports whether more requests wait.
func (e *serviceEstimate) started(now time.Duration, waiting bool) {
	if e.contended {
		sample := float64(now - e.lastStart)
		if e.startInterval == 0 {
			e.startInterval = sample
		}
		e.startInterval = smooth(e.startInterval, sample)
	}
	e.lastStart, e.contended = now, waiting
}

// finished records the time of a request from its start to its end.
func (e *serviceEstimate) finished(d time.Duration, cost float64) {
	sample := float64(d) / cost
	e.deviation = smooth(e.deviation, math.Abs(sample-e.perCost))
	e.perCost = smooth(e.perCost, sample)
}

// service returns the expected service time for a cost, including the margin.
func (e *serviceEstimate) service(cost float64) time.Duration {
	return time.Duration((e.perCost + deviationMargin*e.deviation) * cost)
}

// wait returns the time until n requests ahead have started at a given share of the service.
func (e *serviceEstimate) wait(n int, share float64) time.Duration {
	if share <= 0 {
		return 0
	}
	return time.Duration(float64(n) * e.startInterval / share)
}
