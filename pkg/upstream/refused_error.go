package upstream

// BeforeSendError says that BeforeSend refused the request; it was not sent.
type BeforeSendError struct {
	Cause error
}

func (e *BeforeSendError) Error() string { return "refused before sending: " + e.Cause.Error() }

// Unwrap makes the error ErrNotSent and its cause.
func (e *BeforeSendError) Unwrap() []error { return []error{ErrNotSent, e.Cause} }
