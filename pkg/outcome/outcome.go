package outcome

// Outcome states whether a request ran.
type Outcome string

// The outcomes.
const (
	// NotRun means that no upstream acted on the request, nor ever will for this attempt. It is
	// safe to send it again.
	NotRun Outcome = "not-run"
	// Ran means that an upstream accepted the request and returned its final answer.
	Ran Outcome = "ran"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Valid reports whether o is one of the three outcomes.
func (o Outcome) Valid() bool {
	return o == NotRun || o == Ran || o == Unknown
}

// Combine returns the outcome of a request from the outcomes of two of its attempts: Ran if either
// ran, else Unknown if either is unknown.
func Combine(a, b Outcome) Outcome {
	if a == Ran || b == Ran {
		return Ran
	}
	if a == NotRun && b == NotRun {
		return NotRun
	}
	return Unknown
}
