package suspect

// End says how a request ended on an upstream.
type End int

// How a request ends.
const (
	EndedWell   End = iota // whole answer; acquits a suspect
	EndedBroken            // the upstream broke off
	EndedGiven             // the caller or the gate gave it up
)
