package repair

import (
	"math/bits"
	"time"
)

// buckets is the number of histogram buckets. Their widths double; the first one ends at one
// second.
const buckets = 16

// maxHistory is the number of entries at which all counts are halved, so that older returns weigh
// less.
const maxHistory = 512

// Prior counts are used while little has been recorded.
const (
	priorReturns = 2 // number of returns in the bucket of priorReturn
	priorLosses  = 2
	priorReturn  = 4 * time.Second
)

// wastedLoadWeightPercent is the cost of an unnecessary load, in percent of the same time of
// downtime: the load keeps the store from serving other hosts.
const wastedLoadWeightPercent = 10

// ReturnHistory is a histogram of how long silent hosts were away.
type ReturnHistory struct {
	Back   [buckets]int // returned as the same process, by time away
	Gone   int          // did not return as the same process
	Counts int          // sum of Back and Gone
}

// RecordReturn counts a host that returned as the same process.
func (r *ReturnHistory) RecordReturn(away time.Duration) {
	r.Back[bucketOf(away)]++
	r.count()
}

// RecordLoss counts a silent host that returned as another process or not at all.
func (r *ReturnHistory) RecordLoss() {
	r.Gone++
	r.count()
}

func (r *ReturnHistory) count() {
	r.Counts++
	if r.Counts < maxHistory {
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

// GracePeriod returns the wait with the least expected cost, at most bound. load is how long a
// spare takes to load. A member that returns while the spare loads still ends the downtime.
func (r *ReturnHistory) GracePeriod(load, bound time.Duration) time.Duration {
	best := time.Duration(0)
	cost := r.cost(0, load)
	for i := range buckets {
		wait := min(bound, bucketLimit(i))
		if c := r.cost(wait, load); c < cost {
			best, cost = wait, c
		}
	}
	return best
}

// cost returns the expected cost of a wait, up to a constant factor.
func (r *ReturnHistory) cost(wait, load time.Duration) int64 {
	loss := int64((wait + load) / time.Millisecond)
	waste := int64(load/time.Millisecond) * wastedLoadWeightPercent / 100
	sum := int64(r.Gone+priorLosses) * loss
	for i, n := range r.Back {
		if i == bucketOf(priorReturn) {
			n += priorReturns
		}
		if n == 0 {
			continue
		}
		away := bucketLimit(i)
		c := min(int64(away/time.Millisecond), loss)
		if away > wait {
			c += waste
		}
		sum += int64(n) * c
	}
	return sum
}

// bucketOf returns the bucket of a time away.
func bucketOf(d time.Duration) int {
	seconds := uint64(max(0, d-1) / time.Second)
	return min(buckets-1, bits.Len64(seconds))
}

// bucketLimit returns the longest time of a bucket.
func bucketLimit(i int) time.Duration { return time.Second << i }
