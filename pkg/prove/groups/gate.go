package groups

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	gateLease   = 3 * time.Second
	clockMargin = 200 * time.Millisecond
)

// gate is a gate that has some published state in force.
type gate struct {
	inForce    view.Revision // on the gate
	acked      view.Revision // as the leader knows
	leaseUntil time.Duration
	nextSync   time.Duration
	cutUntil   time.Duration // no sync gets through before
}

// takesWork tells whether the gate's lease holds.
func (g *gate) takesWork(now time.Duration) bool { return now < g.leaseUntil }

// counted tells whether the leader must count the gate's lease as held.
func (g *gate) counted(now time.Duration) bool { return now < g.leaseUntil+clockMargin }
