package membership

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
)

// releasedLease marks a lease that was given up; a late reply does not renew it.
const releasedLease = math.MinInt64

// Lease is a gate's right to accept new work. It is safe for concurrent use.
type Lease struct {
	clock clock.Clock
	until atomic.Int64 // clock.Moment of expiry; 0: never granted; releasedLease: given up
}

// NewLease returns a lease that was not granted yet.
func NewLease(c clock.Clock) *Lease {
	return &Lease{clock: c}
}

// Extend renews the lease for d, counted from the moment at which the renewal
// request was sent. A reply that would shorten the lease has no effect.
func (l *Lease) Extend(sent clock.Moment, d time.Duration) {
	next := int64(sent.Add(d))
	for {
		old := l.until.Load()
		if old == releasedLease || next <= old {
			return
		}
		if l.until.CompareAndSwap(old, next) {
			return
		}
	}
}

// Valid reports whether the gate may accept new work now.
func (l *Lease) Valid() bool {
	return int64(l.clock.Now()) < l.until.Load()
}

// Left returns the time until the lease expires; it is negative after that.
func (l *Lease) Left() time.Duration {
	until := l.until.Load()
	if until == releasedLease {
		return 0
	}
	return clock.Moment(until).Sub(l.clock.Now())
}

// Release gives the lease up permanently.
func (l *Lease) Release() {
	l.until.Store(releasedLease)
}
