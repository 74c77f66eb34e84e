package memconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBuffered bounds the bytes that wait on one way of a connection.
const maxBuffered = 1 << 20

// segment is what one write put on the way.
type segment struct {
	data []byte
	due  time.Time
	end  bool // the writer closed
}

// stream is one direction of a connection.
type stream struct {
	network   *Network
	direction direction

	mu                          sync.Mutex
	changed                     chan struct{} // closed and replaced at each change
	segments                    []segment
	buffered                    int
	reset                       bool
	readDeadline, writeDeadline time.Time // deadlines; zero for none
	readClosed                  bool
	writeClosed                 bool
}

// conn is one end of a connection.
type conn struct {
	network  *Network
	incoming *stream
	hosts    struct{ from, to string }
	outgoing *stream
	peer     *conn
	remote   addr
}

// newPair returns both ends of a new connection.
func (n *Network) newPair(from, to, address string) (*conn, *conn) {
	there := &stream{network: n, direction: direction{from, to}, changed: make(chan struct{})}
	back := &stream{network: n, direction: direction{to, from}, changed: make(chan struct{})}
	a := &conn{network: n, incoming: back, outgoing: there, remote: addr(address)}
	b := &conn{network: n, incoming: there, outgoing: back, remote: addr(from)}
	a.hosts.from, a.hosts.to = from, to
	b.hosts.from, b.hosts.to = to, from
	a.peer, b.peer = b, a
	n.mu.Lock()
	n.conns[a] = struct{}{}
	n.conns[b] = struct{}{}
	n.mu.Unlock()
	return a, b
}

// broadcast tells waiting readers and writers of a change. The caller holds mu.
func (h *stream) broadcast() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// update changes a half and wakes those that wait on it.
func (h *stream) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.broadcast()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, wait, again, err := c.incoming.tryRead(b)
		if !again {
			return n, err
		}
		wait()
	}
}

// tryRead reads what has arrived. Without anything it returns what to wait
// for.
func (h *stream) tryRead(b []byte) (n int, wait func(), again bool, err error) {
	cut, healed := h.network.isCut(h.direction)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case h.readClosed:
		return 0, nil, false, net.ErrClosed
	case h.reset:
		return 0, nil, false, &net.OpError{Op: "read", Net: "mem", Err: syscall.ECONNRESET}
	case !h.readDeadline.IsZero() && !h.readDeadline.After(now):
		return 0, nil, false, os.ErrDeadlineExceeded
	case len(h.segments) > 0 && !cut && !h.segments[0].due.After(now):
		n, err := h.readSegment(b)
		return n, nil, false, err
	}
	var until time.Time
	if len(h.segments) > 0 && !cut {
		until = h.segments[0].due
	}
	if !h.readDeadline.IsZero() && (until.IsZero() || h.readDeadline.Before(until)) {
		until = h.readDeadline
	}
	return 0, waitFunc(h.changed, healed, until), true, nil
}

// readSegment returns data of the first segment. The caller holds mu.
func (h *stream) readSegment(b []byte) (int, error) {
	s := &h.segments[0]
	if s.end {
		return 0, io.EOF
	}
	n := copy(b, s.data)
	s.data = s.data[n:]
	h.buffered -= n
	if len(s.data) == 0 {
		h.segments = h.segments[1:]
	}
	h.broadcast()
	return n, nil
}

// waitFunc waits for one of two changes or a moment, if there is one.
func waitFunc(changed, healed <-chan struct{}, until time.Time) func() {
	return func() {
		var timeout <-chan time.Time
		if !until.IsZero() {
			t := time.NewTimer(time.Until(until))
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-changed:
		case <-healed:
		case <-timeout:
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	for {
		wait, again, err := c.outgoing.tryWrite(b)
		if !again {
			if err != nil {
				return 0, err
			}
			return len(b), nil
		}
		wait()
	}
}

// tryWrite puts data on the way if there is room.
func (h *stream) tryWrite(b []byte) (wait func(), again bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case h.writeClosed:
		return nil, false, net.ErrClosed
	case h.reset, h.readClosed:
		return nil, false, &net.OpError{Op: "write", Net: "mem", Err: syscall.EPIPE}
	case !h.writeDeadline.IsZero() && !h.writeDeadline.After(now):
		return nil, false, os.ErrDeadlineExceeded
	case h.buffered >= maxBuffered:
		return waitFunc(h.changed, nil, h.writeDeadline), true, nil
	}
	h.segments = append(h.segments, segment{data: append([]byte(nil), b...), due: now.Add(h.network.latency)})
	h.buffered += len(b)
	h.broadcast()
	return nil, false, nil
}

// Close implements net.Conn. The other side reads what was written before.
func (c *conn) Close() error {
	c.incoming.update(func() { c.incoming.readClosed = true })
	c.outgoing.update(func() {
		if c.outgoing.writeClosed {
			return
		}
		c.outgoing.writeClosed = true
		c.outgoing.segments = append(c.outgoing.segments, segment{end: true, due: time.Now().Add(c.network.latency)})
	})
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

// reset breaks both directions at once.
func (c *conn) reset() {
	for _, h := range []*stream{c.incoming, c.outgoing} {
		h.update(func() { h.reset = true })
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	delete(c.network.conns, c.peer)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.hosts.from) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.incoming.update(func() { c.incoming.readDeadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.outgoing.update(func() { c.outgoing.writeDeadline = t })
	return nil
}
