package plaincall

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

var (
	// ErrUnframed says that an answer had neither a length nor chunks, so
	// that its end can't be told from a cut.
	ErrUnframed = eris.New("answer has no length")
	// ErrTooManyInterimResponses says that a service sent interim answers without end.
	ErrTooManyInterimResponses = eris.New("too many interim answers")
)

// Step says how far a call came.
type Step string

// The steps of a call.
const (
	StepDial  Step = "dial"  // no connection
	StepCheck Step = "check" // the last check before the first byte forbade it
	StepWrite Step = "write" // the request was not written in whole
	StepRead  Step = "read"  // no whole answer
)

// CallError tells why there is no answer, and whether the request ran.
type CallError struct {
	Outcome outcome.Outcome
	Step    Step
	Timeout bool
	Err     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("call failed at %s (%s): %v", e.Step, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
