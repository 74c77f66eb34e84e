package control

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/ratelimit"
)

// FleetLimit is what an upstream said last about the requests that it takes from all entry hosts.
type FleetLimit struct {
	PerSecond float64 `json:"rps"`
	Limited   bool    `json:"limited"` // false: it does not name a limit any more
	AgoUS     int64   `json:"ago_us"`  // microseconds before the message was sent
	// Heard is set if the reporting process has it from a leader.
	Heard bool `json:"heard,omitempty"`
	// Wanted are the requests a second that the reporting process could send to the upstream; 0 if a
	// placer decides.
	Wanted float64 `json:"wanted,omitempty"`
	// Shares are the shares of the limit by process, as the leader divides it; nil if a placer
	// decides.
	Shares map[string]float64 `json:"shares,omitempty"`
}

// NewFleetLimit returns the message about a statement that is sent at a time.
func NewFleetLimit(now time.Duration, s ratelimit.Statement) FleetLimit {
	return FleetLimit{PerSecond: s.PerSecond, Limited: s.Limited, AgoUS: (now - s.At).Microseconds()}
}

// Statement returns the statement on the clock of a receiver that gets it at a time.
func (l FleetLimit) Statement(now time.Duration) ratelimit.Statement {
	return ratelimit.Statement{PerSecond: l.PerSecond, Limited: l.Limited, At: max(now-time.Duration(l.AgoUS)*time.Microsecond, 1)}
}
