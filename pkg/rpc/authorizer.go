package rpc

import (
	"context"
	"net"
)

// Authorizer decides whether the peer of a connection may call a method. It must be safe for
// concurrent use.
type Authorizer interface {
	// Authorize returns nil if the call is allowed. Otherwise its error, preferably a
	// *jsonrpc2.Error, is returned to the caller.
	Authorize(ctx context.Context, c net.Conn, method string) error
}
