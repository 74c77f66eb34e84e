package plaincall

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

var (
	// ErrUnframed reports that a response has neither a Content-Length nor chunked
	// encoding, so that its end can't be distinguished from a truncation.
	ErrUnframed = eris.New("response has neither a content length nor chunked encoding")
	// ErrTooManyInterimResponses reports that a service sent more than
	// maxInterimResponses 1xx responses.
	ErrTooManyInterimResponses = eris.New("too many interim (1xx) responses")
)

// Step is the stage at which a call failed.
type Step string

// The steps of a call.
const (
	StepDial  Step = "dial"  // no connection could be opened
	StepCheck Step = "check" // the check before the first byte refused the call
	StepWrite Step = "write" // the request was not written completely
	StepRead  Step = "read"  // no complete response was read
)

// CallError is the cause of a failed call and whether the request may have run.
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
