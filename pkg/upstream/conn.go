package upstream

import (
	"bufio"
	"net"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// key names the connections that may be used for one another.
type key struct {
	address     string
	incarnation view.Incarnation
}

// conn is one connection of a pool.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	key    key
	since  time.Time     // idle since then
	limit  time.Duration // between two bytes
	keeps  time.Duration // idle time that the upstream announced; 0: none

	deadline time.Time // for reading
}

const readBuffer = 16 << 10

func newConn(raw net.Conn, k key) *conn {
	c := &conn{raw: raw, key: k}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read fails when no byte comes within the limit.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.moveDeadline(); err != nil {
		return 0, err
	}
	return c.raw.Read(b)
}

// moveDeadline lets the limit begin now. A deadline that is at most an eighth
// of the limit too early stays.
func (c *conn) moveDeadline() error {
	next := time.Now().Add(c.limit)
	if !c.deadline.IsZero() && next.Sub(c.deadline) >= 0 && next.Sub(c.deadline) < c.limit/8 {
		return nil
	}
	c.deadline = next
	return c.raw.SetReadDeadline(next)
}

func (c *conn) close() { _ = c.raw.Close() }
