package upstream

// InterruptedSendError is returned if the connection was lost while the request was being sent. The
// upstream has not received all of it. It wraps ErrSendInterrupted and ErrConnectionLost.
type InterruptedSendError struct {
	Cause error
}

func (e *InterruptedSendError) Error() string {
	return "connection lost while sending: " + e.Cause.Error()
}

// Unwrap returns the wrapped sentinels and the cause.
func (e *InterruptedSendError) Unwrap() []error {
	return []error{ErrSendInterrupted, ErrConnectionLost, e.Cause}
}
