package upstream

import "github.com/rotisserie/eris"

var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = eris.New("request was not sent")
	// ErrUnreachable says that no connection could be opened; the request was
	// not sent.
	ErrUnreachable = eris.New("upstream is unreachable")
	// ErrIncarnationMismatch says that another incarnation answers at the address; the
	// request was not sent.
	ErrIncarnationMismatch = eris.New("another incarnation answers")
	errProbe               = eris.New("connection can't be used after the probe")
	// ErrStalled says that the connection made no progress.
	ErrStalled = eris.New("connection went silent")
	// ErrConnectionLost says that the connection was closed or reset.
	ErrConnectionLost = eris.New("connection broke")
)
