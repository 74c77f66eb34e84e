package rpc

import "github.com/rotisserie/eris"

var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = eris.New("request was not sent")
	// ErrNoReply means that the request may have been sent but no reply was received: the
	// connection failed or the context ended. The call may have taken effect.
	ErrNoReply = eris.New("no reply to the request")
	// ErrTooLarge means that a message exceeds the maximum size.
	ErrTooLarge = eris.New("message is too large")
	// ErrClosed means that the client or server was closed.
	ErrClosed = eris.New("closed")
)
