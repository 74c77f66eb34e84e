package suspect

// RunResult says how a request ended on an upstream.
type RunResult int

// How a request ends.
const (
	RunCompleted RunResult = iota // whole answer; acquits a suspect
	RunBroken                     // the upstream broke off
	RunAbandoned                  // the caller or the gate gave it up
)
