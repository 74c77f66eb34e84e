package rpc

import (
	"net"
	"sync/atomic"
	"time"
)

// heardConn is a connection that knows when something arrived on it last.
type heardConn struct {
	net.Conn
	openedAt time.Time
	heardAt  atomic.Int64 // nanoseconds since openedAt; the time of day may jump
}

func newHeardConn(c net.Conn) *heardConn { return &heardConn{Conn: c, openedAt: time.Now()} }

// Read implements net.Conn.
func (c *heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heardAt.Store(int64(time.Since(c.openedAt)))
	}
	return n, err
}

// silentSince reports whether nothing has arrived after a time.
func (c *heardConn) silentSince(t time.Time) bool {
	return time.Duration(c.heardAt.Load()) <= t.Sub(c.openedAt)
}
