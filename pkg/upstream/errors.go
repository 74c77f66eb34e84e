package upstream

import "github.com/rotisserie/eris"

var (
	// ErrNotSent reports that no byte of the request left this process.
	ErrNotSent = eris.New("request was not sent")
	// ErrUnreachable reports that no connection could be opened. The request was
	// not sent.
	ErrUnreachable = eris.New("upstream is unreachable")
	// ErrIncarnationMismatch reports that another incarnation answers at the address.
	// The request was not sent.
	ErrIncarnationMismatch = eris.New("another incarnation answers at the upstream's address")
	errHeadTooLarge        = eris.Errorf("response header exceeds %d bytes", maxHeadBytes)
	errUnusableAfterProbe  = eris.New("connection is not reusable after the probe")
	// ErrStalled reports that the connection made no progress within the timeout.
	ErrStalled = eris.New("connection stalled")
	// ErrSendInterrupted reports that the connection was lost before the whole request
	// was sent.
	ErrSendInterrupted = eris.New("request was not sent completely")
	// ErrConnectionLost reports that the connection was closed or reset.
	ErrConnectionLost = eris.New("connection lost")
)
