package permit

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Event is an input of the allocator.
type Event interface{ event() }

// TargetUp reports that a target accepts work. Repeating it for the same
// incarnation only updates the limits.
type TargetUp struct {
	Target      view.TargetID
	Incarnation view.Incarnation
	Max         int           // bound after the ramp, at least 1
	Cold        int           // bound after a start, 1 to Max
	RampTime    time.Duration // shortest time from Cold to Max
}

// TargetDown reports that a target accepts no more work.
type TargetDown struct {
	Target view.TargetID
}

// UsageReported carries a gate's usage of its permits, as returned by Local.Usage.
// It says nothing about a target that is not listed.
type UsageReported struct {
	Gate view.GateName
	Uses []view.TargetUse
	// Final is set when the gate accepts no more work before its lease ends.
	Final bool
}

// TargetReported carries a target's own count of the work on it, over all gates.
type TargetReported struct {
	Target      view.TargetID
	Incarnation view.Incarnation
	Running     int // running and queued in the target
}

// GateSeen reports that a gate incarnation holds a lease or is about to get one.
type GateSeen struct {
	Gate        view.GateName
	Incarnation view.Incarnation
}

// GateGone reports that the lease of a gate incarnation has certainly expired.
type GateGone struct {
	Gate        view.GateName
	Incarnation view.Incarnation
}

// BarrierPassed reports that a revision is in force on every gate with a lease.
type BarrierPassed struct {
	Revision view.Revision
}

// Ticked reports that time has passed.
type Ticked struct{}

func (TargetUp) event()       {}
func (TargetDown) event()     {}
func (UsageReported) event()  {}
func (TargetReported) event() {}
func (GateSeen) event()       {}
func (GateGone) event()       {}
func (BarrierPassed) event()  {}
func (Ticked) event()         {}
