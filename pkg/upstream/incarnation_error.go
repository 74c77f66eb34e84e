package upstream

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// IncarnationError says that another incarnation answers at an address; the
// request was not sent. It is ErrIncarnation and ErrNotSent.
type IncarnationError struct {
	Address       string
	Want, Answers view.Incarnation
}

func (e *IncarnationError) Error() string {
	return fmt.Sprintf("incarnation %d answers at %s, want %d", e.Answers, e.Address, e.Want)
}

// Unwrap gives what the error is.
func (e *IncarnationError) Unwrap() []error { return []error{ErrIncarnation, ErrNotSent} }
