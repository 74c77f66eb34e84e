package formation

import "time"

const (
	// silentHostTimeout is how long a host may accept connections without answering, from the first
	// probe on, until it counts as lost. Entry hosts report a head after 0.4 s, so that a silence of
	// 2.5 s in total is tolerated; a sound host may be silent for up to 1.6 s.
	silentHostTimeout = 2100 * time.Millisecond
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
	failedConnections int // in a row
}

// NewHostCheck returns a check whose first probe starts now.
func NewHostCheck(now time.Duration) *HostCheck { return &HostCheck{began: now} }

// Began returns when the first probe started.
func (c *HostCheck) Began() time.Duration { return c.began }

// Record records the result of a probe that ended now.
func (c *HostCheck) Record(now time.Duration, r ProbeResult) Verdict {
	switch r {
	case Answered:
		return HostAlive
	case Refused:
		return HostLost
	case Silent:
		c.failedConnections = 0
		if now-c.began >= silentHostTimeout {
			return HostLost
		}
		return HostUnclear
	}
	if c.failedConnections++; c.failedConnections >= maxFailedConnections {
		return HostLost
	}
	return HostUnclear
}
