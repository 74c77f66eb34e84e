package stream

// Verdict is the decision on an event.
type Verdict int

// The possible verdicts.
const (
	Drop     Verdict = iota // duplicate, late, or of another request or attempt
	Forward                 // the next part of the answer
	Complete                // the end marker of a complete answer
)
