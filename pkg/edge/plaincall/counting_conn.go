package plaincall

import "net"

// countingConn counts the bytes passed to Write of a connection.
type countingConn struct {
	net.Conn
	bytesWritten int64
}

// Write implements net.Conn. All bytes of b are counted before the write, because a
// failed write may have sent more than the count that it returns.
func (c *countingConn) Write(b []byte) (int, error) {
	c.bytesWritten += int64(len(b))
	return c.Conn.Write(b)
}
