package stream

// Verdict says what to do with an event.
type Verdict int

// The verdicts.
const (
	Drop     Verdict = iota // a duplicate, or of another request or attempt
	Forward                 // the next part of the answer
	Complete                // the end marker of a whole answer
)
