package upstream

import "fmt"

// UnreachableError reports that no live connection could be opened. The request was not
// sent. It wraps ErrUnreachable and ErrNotSent.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("upstream %s is unreachable: %v", e.Address, e.Cause)
}

// Unwrap returns the wrapped sentinels and the cause.
func (e *UnreachableError) Unwrap() []error { return []error{ErrUnreachable, ErrNotSent, e.Cause} }
