package repair

import (
	"math/bits"
	"time"
)

// buckets of doubling length; the first one is up to one second.
const buckets = 16

// historyBound halves all counts when it is reached, so that old returns
// weigh less.
const historyBound = 512

// Priors stand for what is not known at the start.
const (
	priorReturns = 2 // returns, in the bucket of priorReturn
	priorLosses  = 2
	priorReturn  = 4 * time.Second
)

// loadWeight is how many seconds of downtime a second of a needless load is
// worth, in percent: a load keeps the store from others.
const loadWeight = 10

// ReturnHistory remembers how long silent hosts were away.
type ReturnHistory struct {
	Back   [buckets]int // same process came back, by time away
	Gone   int          // came back as another process
	Counts int          // sum of both
}

// RecordReturn counts a host that came back as the same process.
func (r *ReturnHistory) RecordReturn(away time.Duration) {
	r.Back[bucketOf(away)]++
	r.count()
}

// RecordLoss counts a silent host that came back as another process, or not.
func (r *ReturnHistory) RecordLoss() {
	r.Gone++
	r.count()
}

func (r *ReturnHistory) count() {
	r.Counts++
	if r.Counts < historyBound {
		return
	}
	r.Counts = 0
	for i := range r.Back {
		r.Back[i] /= 2
		r.Counts += r.Back[i]
	}
	r.Gone /= 2
	r.Counts += r.Gone
}

// GracePeriod gives the wait with the least expected cost, at most bound. load is
// how long a spare takes. While a spare loads, a return is still welcome.
func (r *ReturnHistory) GracePeriod(load, bound time.Duration) time.Duration {
	best := time.Duration(0)
	cost := r.cost(0, load)
	for i := range buckets {
		wait := min(bound, edge(i))
		if c := r.cost(wait, load); c < cost {
			best, cost = wait, c
		}
	}
	return best
}

// cost is the expected cost of a wait, up to a factor.
func (r *ReturnHistory) cost(wait, load time.Duration) int64 {
	loss := int64((wait + load) / time.Millisecond)
	waste := int64(load/time.Millisecond) * loadWeight / 100
	sum := int64(r.Gone+priorLosses) * loss
	for i, n := range r.Back {
		if i == bucketOf(priorReturn) {
			n += priorReturns
		}
		if n == 0 {
			continue
		}
		away := edge(i)
		c := min(int64(away/time.Millisecond), loss)
		if away > wait {
			c += waste
		}
		sum += int64(n) * c
	}
	return sum
}

// bucketOf gives the bucket of a time away.
func bucketOf(d time.Duration) int {
	seconds := uint64(max(0, d-1) / time.Second)
	return min(buckets-1, bits.Len64(seconds))
}

// edge gives the longest time of a bucket.
func edge(i int) time.Duration { return time.Second << i }
