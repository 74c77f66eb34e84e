package gates

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link is a connection with two endpoints.
type link struct {
	from, to       string
	client, server *endpoint
}

func newLink(latency time.Duration, from, to string) *link {
	up, down := newPipe(latency), newPipe(latency)
	return &link{
		from:   from,
		to:     to,
		client: &endpoint{in: down, out: up, local: address(from), remote: address(to)},
		server: &endpoint{in: up, out: down, local: address(to), remote: address(from)},
	}
}

func (k *link) silence(d direction) {
	if d != toServer {
		k.client.in.silence()
	}
	if d != toClient {
		k.client.out.silence()
	}
}

func (k *link) reset() {
	k.client.in.reset()
	k.client.out.reset()
}

// endpoint is one side of a link. It is a net.Conn.
type endpoint struct {
	in, out       *pipe
	local, remote address
}

func (e *endpoint) Read(b []byte) (int, error)         { return e.in.read(b) }
func (e *endpoint) Write(b []byte) (int, error)        { return e.out.write(b) }
func (e *endpoint) LocalAddr() net.Addr                { return e.local }
func (e *endpoint) RemoteAddr() net.Addr               { return e.remote }
func (e *endpoint) SetReadDeadline(t time.Time) error  { e.in.setDeadline(t); return nil }
func (e *endpoint) SetWriteDeadline(t time.Time) error { return nil }

func (e *endpoint) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

func (e *endpoint) Close() error {
	e.out.finish()
	e.in.abandon()
	return nil
}

// segment is data with its time of arrival.
type segment struct {
	at   time.Time
	data []byte
}

// pipe is one direction of a link.
type pipe struct {
	latency time.Duration

	mu        sync.Mutex
	changed   chan struct{}
	segments  []segment
	finished  bool // closed by the writer
	abandoned bool // closed by the reader
	wasReset  bool
	silent    bool
	deadline  time.Time
}

func newPipe(latency time.Duration) *pipe {
	return &pipe{latency: latency, changed: make(chan struct{})}
}

// notify wakes the reader. p.mu must be held.
func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	p.segments = nil
}

func (p *pipe) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.silent {
		p.wasReset = true
		p.segments = nil
		p.notify()
	}
}

func (p *pipe) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.silent {
		p.finished = true
		p.notify()
	}
}

func (p *pipe) abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	p.notify()
}

func (p *pipe) setDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	p.notify()
}

func (p *pipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.silent:
		return len(b), nil
	case p.wasReset, p.abandoned:
		return 0, syscall.ECONNRESET
	case p.finished:
		return 0, net.ErrClosed
	}
	p.segments = append(p.segments, segment{at: time.Now().Add(p.latency), data: append([]byte(nil), b...)})
	p.notify()
	return len(b), nil
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		n, wait, changed, err := p.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		if wait < 0 {
			<-changed
			continue
		}
		t := time.NewTimer(wait)
		select {
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// tryRead reads data that has arrived, or returns how long to wait; a negative duration
// means no limit.
func (p *pipe) tryRead(b []byte) (int, time.Duration, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	switch {
	case p.abandoned:
		return 0, 0, nil, net.ErrClosed
	case p.wasReset:
		return 0, 0, nil, syscall.ECONNRESET
	case !p.deadline.IsZero() && !now.Before(p.deadline):
		return 0, 0, nil, os.ErrDeadlineExceeded
	}
	wait := time.Duration(-1)
	if len(p.segments) > 0 {
		s := &p.segments[0]
		if !now.Before(s.at) {
			n := copy(b, s.data)
			s.data = s.data[n:]
			if len(s.data) == 0 {
				p.segments = p.segments[1:]
			}
			return n, 0, nil, nil
		}
		wait = s.at.Sub(now)
	} else if p.finished {
		return 0, 0, nil, io.EOF
	}
	if !p.deadline.IsZero() {
		left := p.deadline.Sub(now)
		if wait < 0 || left < wait {
			wait = left
		}
	}
	return 0, wait, p.changed, nil
}
