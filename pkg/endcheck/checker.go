package endcheck

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

// State says whether the process of an upstream has ended.
type State string

// The values are metric labels.
const (
	Ended   State = "ended"   // its address refuses connections
	Alive   State = "alive"   // its address accepts connections and keeps them open
	Unknown State = "unknown" // no reply
	// LinkLost means that its address refuses connections from here, but not from another process.
	LinkLost State = "link lost"
	// Refuses means that its address refuses connections from here, and no other process knows more.
	Refuses State = "refuses"
)

const (
	// Timeout bounds a check: several round trips between failure domains. A stream that continues
	// elsewhere waits for it.
	Timeout = 100 * time.Millisecond
	// resultTTL is how long the result of a check may be shared: all requests of an upstream that
	// ends fail within a few milliseconds.
	resultTTL = 200 * time.Millisecond
	// aliveAfter is how long an upstream must keep a connection open to count as alive.
	aliveAfter = 10 * time.Millisecond
)

// Opinion returns what another process finds of an upstream that has ended as far as can be seen from
// here since closedAt.
type Opinion func(closedAt time.Duration, who Incarnation, address string) State

// Checker finds out whether an upstream that closed a connection has ended, or only closed the
// connection. Concurrent checks of the same incarnation share one connection attempt.
type Checker struct {
	dial   upstream.DialFunc
	now    func() time.Duration
	second Opinion // nil if there is no other process

	mu     sync.Mutex
	checks map[Incarnation]*check
}

// Incarnation identifies one process of an upstream.
type Incarnation struct {
	ID        string
	StartedMS int64
}

// check is a check in progress or its recent result.
type check struct {
	began time.Duration
	done  chan struct{} // closed when state is set
	state State
}

// New returns a checker that opens connections with dial. Before it takes an upstream for ended it asks
// for a second opinion, unless that is nil.
func New(dial upstream.DialFunc, now func() time.Duration, second Opinion) *Checker {
	return &Checker{dial: dial, now: now, second: second, checks: map[Incarnation]*check{}}
}

// Check returns the state, at closedAt or later, of the upstream with the given address. closedAt is
// when it closed the connection.
func (e *Checker) Check(closedAt time.Duration, who Incarnation, address string) State {
	for {
		c, created := e.join(closedAt, who)
		if created {
			c.state = e.examine(address)
			if c.state == Ended && e.second != nil {
				c.state = e.second(closedAt, who, address)
			}
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
func (e *Checker) join(closedAt time.Duration, who Incarnation) (c *check, created bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for k, c := range e.checks {
		if now-c.began > resultTTL {
			delete(e.checks, k)
		}
	}
	if c := e.checks[who]; c != nil && (!c.finished() || c.appliesTo(closedAt)) {
		return c, false
	}
	c = &check{began: now, done: make(chan struct{})}
	e.checks[who] = c
	return c, true
}

func (c *check) finished() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// appliesTo reports whether the result of a finished check holds for a connection that was closed at
// closedAt. An upstream that was alive before may have ended since.
func (c *check) appliesTo(closedAt time.Duration) bool {
	return c.state != Alive || c.began >= closedAt
}

// examine returns the state of the upstream at an address. A process that ends closes its sockets in
// any order, so a connection that does not stay open is followed by a second one.
func (e *Checker) examine(address string) State {
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	conn, state := e.connect(ctx, address)
	if conn == nil {
		return state
	}
	defer func() { _ = conn.Close() }()
	if staysOpen(conn) {
		return Alive
	}
	again, state := e.connect(ctx, address)
	if again != nil {
		_ = again.Close()
	}
	return state
}

// connect opens a connection. The state is what the outcome says of the upstream.
func (e *Checker) connect(ctx context.Context, address string) (net.Conn, State) {
	conn, err := e.dial(ctx, address)
	switch {
	case err == nil:
		return conn, Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, Ended
	}
	return nil, Unknown
}

// staysOpen reports whether the other end leaves a connection open for aliveAfter.
func staysOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(aliveAfter))
	_, err := conn.Read(make([]byte, 1))
	return err == nil || os.IsTimeout(err)
}
