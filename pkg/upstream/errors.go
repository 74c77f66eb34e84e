package upstream

import "github.com/rotisserie/eris"

var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = eris.New("request was not sent")
	// ErrUnreachable says that no connection could be opened; the request was
	// not sent.
	ErrUnreachable = eris.New("upstream is unreachable")
	// ErrIncarnation says that another incarnation answers at the address; the
	// request was not sent.
	ErrIncarnation = eris.New("another incarnation answers")
	errProbe       = eris.New("connection can't be used after the probe")
	// ErrSilent says that the connection made no progress.
	ErrSilent = eris.New("connection went silent")
	// ErrBroken says that the connection was closed or reset.
	ErrBroken = eris.New("connection broke")
)
