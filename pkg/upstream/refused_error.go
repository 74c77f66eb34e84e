package upstream

// RefusedError says that BeforeSend refused the request; it was not sent.
type RefusedError struct {
	Cause error
}

func (e *RefusedError) Error() string { return "refused before sending: " + e.Cause.Error() }

// Unwrap makes the error ErrNotSent and its cause.
func (e *RefusedError) Unwrap() []error { return []error{ErrNotSent, e.Cause} }
