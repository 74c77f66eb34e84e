package rpc

import (
	"net"
	"sync/atomic"
)

// heardConn is a connection that knows whether anything has arrived on it.
type heardConn struct {
	net.Conn
	heard atomic.Bool
}

// Read implements net.Conn.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(true)
	}
	return n, err
}

// arrived reports whether anything has arrived since the last call.
func (c *heardConn) arrived() bool { return c.heard.Swap(false) }
