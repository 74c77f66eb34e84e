package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// heardConn is a connection that knows when something arrived on it last.
type heardConn struct {
	net.Conn
	heardAt atomic.Int64 // Unix nanoseconds
}

// Read implements net.Conn.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heardAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// silentSince reports whether nothing has arrived after a time.
func (c *heardConn) silentSince(t time.Time) bool { return c.heardAt.Load() <= t.UnixNano() }
