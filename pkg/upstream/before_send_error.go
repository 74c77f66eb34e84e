package upstream

// BeforeSendError reports that BeforeSend refused the request, which was not sent.
type BeforeSendError struct {
	Cause error
}

func (e *BeforeSendError) Error() string { return "refused before sending: " + e.Cause.Error() }

// Unwrap returns ErrNotSent and the error of BeforeSend.
func (e *BeforeSendError) Unwrap() []error { return []error{ErrNotSent, e.Cause} }
