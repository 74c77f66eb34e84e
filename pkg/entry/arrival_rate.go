package entry

import (
	"math"
	"time"
)

// arrivalRateWindow is the time constant over which the rate of arrivals is averaged.
const arrivalRateWindow = 2 * time.Second

// arrivalRate measures requests a second.
type arrivalRate struct {
	sum float64 // exponentially decayed
	at  time.Duration
}

func (r *arrivalRate) add(now time.Duration) {
	r.sum = r.decayed(now) + 1
	r.at = now
}

func (r *arrivalRate) decayed(now time.Duration) float64 {
	return r.sum * math.Exp(-float64(now-r.at)/float64(arrivalRateWindow))
}

// rate returns the requests a second. A nil rate has seen none.
func (r *arrivalRate) rate(now time.Duration) float64 {
	if r == nil {
		return 0
	}
	return r.decayed(now) / arrivalRateWindow.Seconds()
}
