package upstream

import "fmt"

// UnreachableError says that no live connection could be opened; the request
// was not sent. It is ErrUnreachable and ErrNotSent.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("upstream %s is unreachable: %v", e.Address, e.Cause)
}

// Unwrap gives what the error is and its cause.
func (e *UnreachableError) Unwrap() []error { return []error{ErrUnreachable, ErrNotSent, e.Cause} }
