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

// half is one direction of a connection.
type half struct {
	network *Network
	way     way

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	segments []segment
	buffered int
	reset    bool
	rdl, wdl time.Time // deadlines; zero for none
	rclosed  bool
	wclosed  bool
}

// conn is one end of a connection.
type conn struct {
	network *Network
	in      *half
	out     struct{ from, to string }
	send    *half
	peer    *conn
	remote  addr
}

// pair returns both ends of a new connection.
func (n *Network) pair(from, to, address string) (*conn, *conn) {
	there := &half{network: n, way: way{from, to}, changed: make(chan struct{})}
	back := &half{network: n, way: way{to, from}, changed: make(chan struct{})}
	a := &conn{network: n, in: back, send: there, remote: addr(address)}
	b := &conn{network: n, in: there, send: back, remote: addr(from)}
	a.out.from, a.out.to = from, to
	b.out.from, b.out.to = to, from
	a.peer, b.peer = b, a
	n.mu.Lock()
	n.conns[a] = struct{}{}
	n.conns[b] = struct{}{}
	n.mu.Unlock()
	return a, b
}

// wake tells waiting readers and writers of a change. The caller holds mu.
func (h *half) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// update changes a half and wakes those that wait on it.
func (h *half) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.wake()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, wait, again, err := c.in.tryRead(b)
		if !again {
			return n, err
		}
		wait()
	}
}

// tryRead reads what has arrived. Without anything it returns what to wait
// for.
func (h *half) tryRead(b []byte) (n int, wait func(), again bool, err error) {
	cut, healed := h.network.state(h.way)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case h.rclosed:
		return 0, nil, false, net.ErrClosed
	case h.reset:
		return 0, nil, false, &net.OpError{Op: "read", Net: "mem", Err: syscall.ECONNRESET}
	case !h.rdl.IsZero() && !h.rdl.After(now):
		return 0, nil, false, os.ErrDeadlineExceeded
	case len(h.segments) > 0 && !cut && !h.segments[0].due.After(now):
		n, err := h.take(b)
		return n, nil, false, err
	}
	var until time.Time
	if len(h.segments) > 0 && !cut {
		until = h.segments[0].due
	}
	if !h.rdl.IsZero() && (until.IsZero() || h.rdl.Before(until)) {
		until = h.rdl
	}
	return 0, waiter(h.changed, healed, until), true, nil
}

// take returns data of the first segment. The caller holds mu.
func (h *half) take(b []byte) (int, error) {
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
	h.wake()
	return n, nil
}

// waiter waits for one of two changes or a moment, if there is one.
func waiter(changed, healed <-chan struct{}, until time.Time) func() {
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
		wait, again, err := c.send.tryWrite(b)
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
func (h *half) tryWrite(b []byte) (wait func(), again bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case h.wclosed:
		return nil, false, net.ErrClosed
	case h.reset, h.rclosed:
		return nil, false, &net.OpError{Op: "write", Net: "mem", Err: syscall.EPIPE}
	case !h.wdl.IsZero() && !h.wdl.After(now):
		return nil, false, os.ErrDeadlineExceeded
	case h.buffered >= maxBuffered:
		return waiter(h.changed, nil, h.wdl), true, nil
	}
	h.segments = append(h.segments, segment{data: append([]byte(nil), b...), due: now.Add(h.network.latency)})
	h.buffered += len(b)
	h.wake()
	return nil, false, nil
}

// Close implements net.Conn. The other side reads what was written before.
func (c *conn) Close() error {
	c.in.update(func() { c.in.rclosed = true })
	c.send.update(func() {
		if c.send.wclosed {
			return
		}
		c.send.wclosed = true
		c.send.segments = append(c.send.segments, segment{end: true, due: time.Now().Add(c.network.latency)})
	})
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

// reset breaks both directions at once.
func (c *conn) reset() {
	for _, h := range []*half{c.in, c.send} {
		h.update(func() { h.reset = true })
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	delete(c.network.conns, c.peer)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.out.from) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.rdl = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.send.update(func() { c.send.wdl = t })
	return nil
}
