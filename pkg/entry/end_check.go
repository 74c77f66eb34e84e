package entry

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// endState says whether the process of an upstream has ended.
type endState string

// The values are metric labels.
const (
	upstreamEnded   endState = "ended"   // its address refuses connections
	upstreamAlive   endState = "alive"   // its address accepts connections and keeps them open
	endStateUnknown endState = "unknown" // no reply
)

const (
	// endCheckTimeout bounds a check: several round trips between failure domains. A stream that
	// continues elsewhere waits for it.
	endCheckTimeout = 100 * time.Millisecond
	// endCheckTTL is how long the result of a check may be shared: all requests of an upstream that
	// ends fail within a few milliseconds.
	endCheckTTL = 200 * time.Millisecond
	// aliveAfter is how long an upstream must keep a connection open to count as alive.
	aliveAfter = 10 * time.Millisecond
)

// endChecker finds out whether an upstream that closed a connection has ended, or only closed the
// connection. Concurrent checks of the same incarnation share one connection attempt.
type endChecker struct {
	dial upstream.DialFunc
	now  func() time.Duration

	mu     sync.Mutex
	checks map[incarnation]*endCheck
}

// incarnation identifies one process of an upstream.
type incarnation struct {
	id        string
	startedMS int64
}

// endCheck is a check in progress or its recent result.
type endCheck struct {
	began time.Duration
	done  chan struct{} // closed when state is set
	state endState
}

func newEndChecker(dial upstream.DialFunc, now func() time.Duration) *endChecker {
	return &endChecker{dial: dial, now: now, checks: map[incarnation]*endCheck{}}
}

// check returns the state, at closedAt or later, of the upstream with the given address. closedAt is
// when it closed the connection.
func (e *endChecker) check(closedAt time.Duration, who incarnation, address string) endState {
	for {
		c, created := e.join(closedAt, who)
		if created {
			c.state = e.examine(address)
			close(c.done)
			return c.state
		}
		<-c.done
		if c.appliesTo(closedAt) {
			return c.state
		}
	}
}

// join returns the latest check of an incarnation. It creates one, which the caller must carry out,
// if there is none or its result does not apply.
func (e *endChecker) join(closedAt time.Duration, who incarnation) (c *endCheck, created bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for k, c := range e.checks {
		if now-c.began > endCheckTTL {
			delete(e.checks, k)
		}
	}
	if c := e.checks[who]; c != nil && (!c.finished() || c.appliesTo(closedAt)) {
		return c, false
	}
	c = &endCheck{began: now, done: make(chan struct{})}
	e.checks[who] = c
	return c, true
}

func (c *endCheck) finished() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// appliesTo reports whether the result of a finished check holds for a connection that was closed at
// closedAt. An upstream that was alive before may have ended since.
func (c *endCheck) appliesTo(closedAt time.Duration) bool {
	return c.state != upstreamAlive || c.began >= closedAt
}

// examine returns the state of the upstream at an address. A process that ends closes its sockets in
// any order, so a connection that does not stay open is followed by a second one.
func (e *endChecker) examine(address string) endState {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	conn, state := e.connect(ctx, address)
	if conn == nil {
		return state
	}
	defer func() { _ = conn.Close() }()
	if staysOpen(conn) {
		return upstreamAlive
	}
	again, state := e.connect(ctx, address)
	if again != nil {
		_ = again.Close()
	}
	return state
}

// connect opens a connection. The state is what the outcome says of the upstream.
func (e *endChecker) connect(ctx context.Context, address string) (net.Conn, endState) {
	conn, err := e.dial(ctx, address)
	switch {
	case err == nil:
		return conn, upstreamAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, upstreamEnded
	}
	return nil, endStateUnknown
}

// staysOpen reports whether the other end leaves a connection open for aliveAfter.
func staysOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(aliveAfter))
	_, err := conn.Read(make([]byte, 1))
	return err == nil || os.IsTimeout(err)
}
