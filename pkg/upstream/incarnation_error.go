package upstream

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// IncarnationMismatchError says that another incarnation answers at an address; the
// request was not sent. It is ErrIncarnation and ErrNotSent.
type IncarnationMismatchError struct {
	Address   string
	Want, Got view.Incarnation
}

func (e *IncarnationMismatchError) Error() string {
	return fmt.Sprintf("incarnation %d answers at %s, want %d", e.Got, e.Address, e.Want)
}

// Unwrap gives what the error is.
func (e *IncarnationMismatchError) Unwrap() []error {
	return []error{ErrIncarnationMismatch, ErrNotSent}
}
