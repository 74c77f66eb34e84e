package formation

import "time"

const (
	// maxSilentProbes is the number of probes without an answer after which a host that accepts
	// connections is lost: 2.1 s after the first one began, 2.5 s after the last event of a head
	// that entry hosts report. A sound host may be silent for up to 1.6 s.
	maxSilentProbes = 5
	// SilentProbeInterval is the time between the starts of probes of a host that accepts
	// connections without answering.
	SilentProbeInterval = 450 * time.Millisecond
	// maxFailedConnections is the number of probes in a row without a connection to the probed
	// incarnation after which a host is lost.
	maxFailedConnections = 2
)

// Verdict is what the probes of a host have shown.
type Verdict uint8

const (
	// HostAlive means that the host answered.
	HostAlive Verdict = iota
	// HostLost means that the host does not exist anymore or has been silent for too long.
	HostLost
	// HostUnclear means that the host is to be probed again.
	HostUnclear
)

// HostCheck decides from the results of successive probes whether a host is lost.
type HostCheck struct {
	began             time.Duration
	silentProbes      int
	failedConnections int // in a row
}

// NewHostCheck returns a check whose first probe starts now.
func NewHostCheck(now time.Duration) *HostCheck { return &HostCheck{began: now} }

// Began returns when the first probe started.
func (c *HostCheck) Began() time.Duration { return c.began }

// Record records the result of a probe. Probes are counted and not timed, so that the host of the
// caller can stand still meanwhile.
func (c *HostCheck) Record(r ProbeResult) Verdict {
	switch r {
	case Answered:
		return HostAlive
	case Refused:
		return HostLost
	case Silent:
		c.failedConnections = 0
		if c.silentProbes++; c.silentProbes >= maxSilentProbes {
			return HostLost
		}
		return HostUnclear
	}
	if c.failedConnections++; c.failedConnections >= maxFailedConnections {
		return HostLost
	}
	return HostUnclear
}
