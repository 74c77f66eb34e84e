package admission

import "time"

// estimate follows the service time of requests and the rate at which they
// are started.
type estimate struct {
	service  time.Duration // smoothed
	interval float64       // smoothed nanoseconds between two starts under contention; 0: unknown
	last     time.Duration // the last start under contention
	open     bool          // last is set and work has been waiting since
}

// gain is the weight of a new sample.
const gain = 0.1

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
func (e *estimate) finished(d time.Duration) {
	e.service = time.Duration(smooth(float64(e.service), float64(d)))
}

// wait is the time that n requests ahead at a share of the service need.
func (e *estimate) wait(n int, share float64) time.Duration {
	if share <= 0 {
		return 0
	}
	return time.Duration(float64(n) * e.interval / share)
}
