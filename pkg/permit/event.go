package permit

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Event is an input of the allocator.
type Event interface{ event() }

// TargetUp tells that a target takes work. Repeating it for the same
// incarnation only renews the limits.
type TargetUp struct {
	Target      view.TargetID
	Incarnation view.Incarnation
	Max         int           // requests in flight once proven, at least 1
	Cold        int           // requests in flight when just started, 1 to Max
	RampTime    time.Duration // least time from cold to proven
}

// TargetDown tells that a target takes no more work.
type TargetDown struct {
	Target view.TargetID
}

// UsageReported is a gate's account of its work, as Local.Uses gave it. A target
// that is not listed is not told of.
type UsageReported struct {
	Gate view.GateName
	Uses []view.TargetUse
	// Final tells that the gate takes no more work before its lease ends.
	Final bool
}

// TargetReported is a target's own count of the work on it, over all gates.
type TargetReported struct {
	Target      view.TargetID
	Incarnation view.Incarnation
	Running     int // running and waiting in the target
}

// GateSeen tells that a gate incarnation holds or is about to get a lease.
type GateSeen struct {
	Gate        view.GateName
	Incarnation view.Incarnation
}

// GateGone tells that the lease of a gate incarnation has lapsed for sure.
type GateGone struct {
	Gate        view.GateName
	Incarnation view.Incarnation
}

// BarrierPassed tells that a revision is in force on every gate with a lease.
type BarrierPassed struct {
	Revision view.Revision
}

// Ticked tells that time has passed.
type Ticked struct{}

func (TargetUp) event()       {}
func (TargetDown) event()     {}
func (UsageReported) event()  {}
func (TargetReported) event() {}
func (GateSeen) event()       {}
func (GateGone) event()       {}
func (BarrierPassed) event()  {}
func (Ticked) event()         {}
