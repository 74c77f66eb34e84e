package rpc

import (
	"context"
	"net"

	"github.com/sesamemux/sesamemux/pkg/sender"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// requestConn is the connection of a request.
type requestConn struct {
	net.Conn
	ended <-chan struct{}
}

func withConn(ctx context.Context, c net.Conn, ended <-chan struct{}) context.Context {
	return sender.WithConn(context.WithValue(ctx, connKey{}, requestConn{c, ended}), c)
}

// Conn returns the connection over which a handler's request was received, or nil outside handlers.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(requestConn)
	return c.Conn
}

// WithConnection returns a context for work that is of use only while the connection of a handler's request
// is open.
func WithConnection(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c, ok := ctx.Value(connKey{}).(requestConn)
	if !ok {
		return ctx, cancel
	}
	go func() {
		select {
		case <-c.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
