package upstream

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// IncarnationMismatchError reports which incarnation answered at an address instead of
// the expected one. The request was not sent. It wraps ErrIncarnationMismatch and
// ErrNotSent.
type IncarnationMismatchError struct {
	Address   string
	Want, Got view.Incarnation
}

func (e *IncarnationMismatchError) Error() string {
	return fmt.Sprintf("incarnation %d answers at %s, expected %d", e.Got, e.Address, e.Want)
}

// Unwrap returns the wrapped errors.
func (e *IncarnationMismatchError) Unwrap() []error {
	return []error{ErrIncarnationMismatch, ErrNotSent}
}
