package keeper

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/dispatch"
	"github.com/sesamemux/sesamemux/pkg/liveness"
	"github.com/sesamemux/sesamemux/pkg/membership"
)

// Timing holds the intervals and time-outs of the control plane.
type Timing struct {
	Gates           membership.Timing
	Hosts           liveness.Timing
	Orders          dispatch.Timing
	ObserveInterval time.Duration // between two observations proposed to the log
	TickInterval    time.Duration // between two ticks of the replicated state machines
	ProposeTimeout  time.Duration // time-out of a proposal that the leader itself makes
}

// DefaultTiming returns the timing in production. A lease outlasts an election, and the gates of a
// drained failure domain stop within 4 s.
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
