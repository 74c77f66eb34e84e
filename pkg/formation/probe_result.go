package formation

// ProbeResult is how a probe of a host ended.
type ProbeResult uint8

const (
	// Answered means that the probed incarnation answered.
	Answered ProbeResult = iota
	// Silent means that the host accepted a new connection on which no answer was received: its
	// machine and the path to it work.
	Silent
	// Unreachable means that no connection to the host was established.
	Unreachable
	// Refused means that the host's address refuses connections: the process has ended.
	Refused
	// Replaced means that another incarnation answered at the host's address.
	Replaced
)

// String returns the name of the result in logs and metrics.
func (r ProbeResult) String() string {
	switch r {
	case Answered:
		return "answered"
	case Silent:
		return "silent"
	case Unreachable:
		return "unreachable"
	case Refused:
		return "refused"
	case Replaced:
		return "replaced"
	}
	return "invalid"
}
