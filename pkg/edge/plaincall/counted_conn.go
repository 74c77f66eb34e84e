package plaincall

import "net"

// countedConn counts the bytes that were handed to a connection.
type countedConn struct {
	net.Conn
	written int64
}

// Write implements net.Conn. A write that failed may have handed over more
// than it tells, so that any attempt counts.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written += int64(len(b))
	return c.Conn.Write(b)
}
