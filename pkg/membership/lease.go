package membership

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
)

// releasedLease marks a lease that was given up; no late reply revives it.
const releasedLease = math.MinInt64

// Lease is a gate's right to take new work. It is safe for concurrent use.
type Lease struct {
	clock clock.Clock
	until atomic.Int64 // clock.Moment; 0 when none was granted, released when given up
}

// NewLease returns a lease that is not held.
func NewLease(c clock.Clock) *Lease {
	return &Lease{clock: c}
}

// Extend makes the lease last for d from the moment that the renewing request
// was sent. A reply that is older than the one in force changes nothing.
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

// Valid tells whether the gate may take new work now.
func (l *Lease) Valid() bool {
	return int64(l.clock.Now()) < l.until.Load()
}

// Left returns the time until the lease lapses, below zero after that.
func (l *Lease) Left() time.Duration {
	until := l.until.Load()
	if until == releasedLease {
		return 0
	}
	return clock.Moment(until).Sub(l.clock.Now())
}

// Release gives the lease up for good.
func (l *Lease) Release() {
	l.until.Store(releasedLease)
}
