package groups

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	gateLease   = 3 * time.Second
	clockMargin = 200 * time.Millisecond
)

// gate is a simulated gate with a view in force.
type gate struct {
	inForce       view.Revision // in force on the gate
	acked         view.Revision // as known to the leader
	leaseUntil    time.Duration
	nextSync      time.Duration
	isolatedUntil time.Duration // no sync succeeds before
}

// leaseValid reports whether the gate holds a lease and takes work.
func (g *gate) leaseValid(now time.Duration) bool { return now < g.leaseUntil }

// leaseCounted reports whether the leader must assume that the gate holds a lease.
func (g *gate) leaseCounted(now time.Duration) bool { return now < g.leaseUntil+clockMargin }
