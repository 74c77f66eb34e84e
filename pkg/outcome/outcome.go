package outcome

// Outcome tells whether a request ran.
type Outcome string

// The outcomes.
const (
	// NotRun says that no upstream acted on the request, nor ever will for
	// this attempt. Sending it again is safe.
	NotRun Outcome = "not-run"
	// Ran says that an upstream took the request and gave its final answer.
	Ran Outcome = "ran"
	// Unknown says that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Valid tells whether o is one of the three outcomes.
func (o Outcome) Valid() bool {
	return o == NotRun || o == Ran || o == Unknown
}

// Combine gives the outcome of a request from the outcomes of two of its
// attempts: Ran if either ran, else Unknown if either is unknown.
func Combine(a, b Outcome) Outcome {
	if a == Ran || b == Ran {
		return Ran
	}
	if a == NotRun && b == NotRun {
		return NotRun
	}
	return Unknown
}
