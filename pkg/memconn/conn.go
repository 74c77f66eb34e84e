package memconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBuffered is the number of bytes in transit from which writes in one direction of a connection
// block.
const maxBuffered = 1 << 20

// segment is the data of one write, or the end of the stream.
type segment struct {
	data []byte
	due  time.Time // time of arrival
	end  bool      // the writer has closed the connection
}

// stream carries the data of one direction of a connection.
type stream struct {
	network   *Network
	direction direction

	mu                          sync.Mutex
	changed                     chan struct{} // closed and replaced on each change
	segments                    []segment
	buffered                    int
	reset                       bool
	readDeadline, writeDeadline time.Time // zero for none
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

// newPair returns both ends of a new connection: the dialer's and the listener's.
func (n *Network) newPair(from, to, address string) (*conn, *conn) {
	forward := &stream{network: n, direction: direction{from, to}, changed: make(chan struct{})}
	backward := &stream{network: n, direction: direction{to, from}, changed: make(chan struct{})}
	dialer := &conn{network: n, incoming: backward, outgoing: forward, remote: addr(address)}
	listener := &conn{network: n, incoming: forward, outgoing: backward, remote: addr(from)}
	dialer.hosts.from, dialer.hosts.to = from, to
	listener.hosts.from, listener.hosts.to = to, from
	dialer.peer, listener.peer = listener, dialer
	n.mu.Lock()
	n.conns[dialer] = struct{}{}
	n.conns[listener] = struct{}{}
	n.mu.Unlock()
	return dialer, listener
}

// broadcast wakes waiting readers and writers. The caller holds mu.
func (s *stream) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// update calls f, which changes the stream, and wakes waiting readers and writers.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.broadcast()
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

// tryRead reads data that has arrived. If there is none, it returns again as true and a function
// that waits for a change.
func (s *stream) tryRead(b []byte) (n int, wait func(), again bool, err error) {
	cut, healed := s.network.isCut(s.direction)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.readClosed:
		return 0, nil, false, net.ErrClosed
	case s.reset:
		return 0, nil, false, &net.OpError{Op: "read", Net: "mem", Err: syscall.ECONNRESET}
	case !s.readDeadline.IsZero() && !s.readDeadline.After(now):
		return 0, nil, false, os.ErrDeadlineExceeded
	case len(s.segments) > 0 && !cut && !s.segments[0].due.After(now):
		n, err := s.readSegment(b)
		return n, nil, false, err
	}
	var until time.Time
	if len(s.segments) > 0 && !cut {
		until = s.segments[0].due
	}
	if !s.readDeadline.IsZero() && (until.IsZero() || s.readDeadline.Before(until)) {
		until = s.readDeadline
	}
	return 0, waitFunc(s.changed, healed, until), true, nil
}

// readSegment reads from the first segment. The caller holds mu.
func (s *stream) readSegment(b []byte) (int, error) {
	seg := &s.segments[0]
	if seg.end {
		return 0, io.EOF
	}
	n := copy(b, seg.data)
	seg.data = seg.data[n:]
	s.buffered -= n
	if len(seg.data) == 0 {
		s.segments = s.segments[1:]
	}
	s.broadcast()
	return n, nil
}

// waitFunc returns a function that waits until one of the channels is closed or a time is reached.
// A zero time means none.
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

// tryWrite sends data if the buffer has room. If not, it returns again as true and a function that
// waits for a change.
func (s *stream) tryWrite(b []byte) (wait func(), again bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.writeClosed:
		return nil, false, net.ErrClosed
	case s.reset, s.readClosed:
		return nil, false, &net.OpError{Op: "write", Net: "mem", Err: syscall.EPIPE}
	case !s.writeDeadline.IsZero() && !s.writeDeadline.After(now):
		return nil, false, os.ErrDeadlineExceeded
	case s.buffered >= maxBuffered:
		return waitFunc(s.changed, nil, s.writeDeadline), true, nil
	}
	s.segments = append(s.segments, segment{data: append([]byte(nil), b...), due: s.network.arrival(now, s.direction, len(b))})
	s.buffered += len(b)
	s.broadcast()
	return nil, false, nil
}

// Close implements net.Conn. The peer can still read what was written before.
func (c *conn) Close() error {
	c.incoming.update(func() { c.incoming.readClosed = true })
	c.outgoing.update(func() {
		if c.outgoing.writeClosed {
			return
		}
		c.outgoing.writeClosed = true
		c.outgoing.segments = append(c.outgoing.segments, segment{end: true, due: c.network.arrival(time.Now(), c.outgoing.direction, 0)})
	})
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

// reset breaks both directions at once.
func (c *conn) reset() {
	for _, s := range []*stream{c.incoming, c.outgoing} {
		s.update(func() { s.reset = true })
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
