package suspect

// RunResult is how a request ended on an upstream.
type RunResult int

// The results of a run.
const (
	RunCompleted RunResult = iota // complete answer; clears a suspect
	RunBroken                     // the upstream broke off the answer
	RunAbandoned                  // the caller or the gate gave up
)
