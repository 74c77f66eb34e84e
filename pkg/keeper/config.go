package keeper

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/dispatch"
	"github.com/sesamemux/sesamemux/pkg/liveness"
	"github.com/sesamemux/sesamemux/pkg/membership"
)

// Timing holds the times of the control plane.
type Timing struct {
	Gates           membership.Timing
	Hosts           liveness.Timing
	Orders          dispatch.Timing
	ObserveInterval time.Duration // between two observations that enter the log
	TickInterval    time.Duration // between two ticks of the replicated machines
	ProposeTimeout  time.Duration // for one proposal of the leader's own
}

// DefaultTiming returns the times that the design's bounds rest on: a lease
// outlasts an election, and a drained domain's gates stop within 4 s.
func DefaultTiming() Timing {
	return Timing{
		Gates:           membership.Timing{Lease: 3 * time.Second, MaxClockDrift: 0.01},
		Hosts:           liveness.Timing{LostAfter: 3 * time.Second, RefusedLostAfter: 700 * time.Millisecond},
		Orders:          dispatch.Timing{TTL: 1500 * time.Millisecond, MaxClockDrift: 0.01, ResendInterval: time.Second},
		ObserveInterval: 50 * time.Millisecond,
		TickInterval:    time.Second,
		ProposeTimeout:  2 * time.Second,
	}
}
