package rpc

import "github.com/rotisserie/eris"

var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = eris.New("request was not sent")
	// ErrNoReply says that the request was sent and the connection failed
	// before a reply came: the call may have taken effect.
	ErrNoReply = eris.New("no reply to the request")
	// ErrTooLarge says that a message is over the bound for one.
	ErrTooLarge = eris.New("message is too large")
	// ErrClosed says that the client or server was closed.
	ErrClosed = eris.New("closed")
)
