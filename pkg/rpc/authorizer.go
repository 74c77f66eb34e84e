package rpc

import (
	"context"
	"net"
)

// Authorizer tells whether the other end of a connection may call a method. It
// returns nil for a call with the right to it; its error, best a
// *jsonrpc2.Error, goes to the caller. It is safe for concurrent use.
type Authorizer interface {
	Authorize(ctx context.Context, c net.Conn, method string) error
}
