package upstream

import (
	"bufio"
	"net"
	"net/http"
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
	headLeft     int       // bytes that may still be read of a response header; negative: no limit
}

// maxHeadBytes limits the header of a response.
const maxHeadBytes = 128 << 10

// readHead reads the header of a response to a request with the given method. The body is not
// limited.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.headLeft = maxHeadBytes
	defer func() { c.headLeft = -1 }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

const readBufferSize = 16 << 10

func newConn(raw net.Conn, k poolKey) *conn {
	c := &conn{raw: raw, key: k, headLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read fails if no byte arrives within the read timeout, and within a header after its limit.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.extendReadDeadline(); err != nil {
		return 0, err
	}
	if c.headLeft < 0 {
		return c.raw.Read(b)
	}
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.raw.Read(b[:min(len(b), c.headLeft)])
	c.headLeft -= n
	return n, err
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
