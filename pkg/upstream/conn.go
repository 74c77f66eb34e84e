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
	reused bool
}

const readBuffer = 16 << 10

func newConn(raw net.Conn, k key) *conn {
	c := &conn{raw: raw, key: k}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read fails when no byte comes within the limit.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.raw.SetReadDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.raw.Read(b)
}

func (c *conn) close() { _ = c.raw.Close() }
