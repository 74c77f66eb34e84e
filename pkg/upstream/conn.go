package upstream

import (
	"bufio"
	"net"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// poolKey identifies a set of interchangeable connections.
type poolKey struct {
	address     string
	incarnation view.Incarnation
}

// conn is one connection of a pool, idle or in use.
type conn struct {
	raw           net.Conn
	reader        *bufio.Reader
	key           poolKey
	idleSince     time.Time     // when the connection was returned to the pool
	readTimeout   time.Duration // longest wait for the next bytes
	announcedIdle time.Duration // idle timeout from the upstream's Keep-Alive header; 0 if none

	readDeadline time.Time // current read deadline of raw
}

const readBufferSize = 16 << 10

func newConn(raw net.Conn, k poolKey) *conn {
	c := &conn{raw: raw, key: k}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read fails if no byte arrives within the read timeout.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.extendReadDeadline(); err != nil {
		return 0, err
	}
	return c.raw.Read(b)
}

// extendReadDeadline restarts the read timeout. A deadline that is less than an eighth
// of the timeout too early is kept, which saves a system call for most reads.
func (c *conn) extendReadDeadline() error {
	next := time.Now().Add(c.readTimeout)
	if !c.readDeadline.IsZero() && next.Sub(c.readDeadline) >= 0 && next.Sub(c.readDeadline) < c.readTimeout/8 {
		return nil
	}
	c.readDeadline = next
	return c.raw.SetReadDeadline(next)
}

func (c *conn) close() { _ = c.raw.Close() }
