package entry

import (
	"context"
	"errors"
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
	upstreamAlive   endState = "alive"   // its address accepts connections
	endStateUnknown endState = "unknown" // no reply
)

const (
	// endCheckTimeout bounds a check: several round trips between failure domains. A stream that
	// continues elsewhere waits for it.
	endCheckTimeout = 100 * time.Millisecond
	// endCheckTTL is how long the result of a check is valid: all requests of an upstream that ends
	// fail within a few milliseconds.
	endCheckTTL = 200 * time.Millisecond
)

// endChecker finds out whether an upstream that broke off an attempt has ended, or only closed a
// connection. Concurrent checks of the same incarnation share one connection attempt.
type endChecker struct {
	dial upstream.DialFunc

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

func newEndChecker(dial upstream.DialFunc) *endChecker {
	return &endChecker{dial: dial, checks: map[incarnation]*endCheck{}}
}

// check returns the state of the upstream with the given address.
func (e *endChecker) check(now time.Duration, who incarnation, address string) endState {
	e.mu.Lock()
	for k, c := range e.checks {
		if now-c.began > endCheckTTL {
			delete(e.checks, k)
		}
	}
	c := e.checks[who]
	if c != nil {
		e.mu.Unlock()
		<-c.done
		return c.state
	}
	c = &endCheck{began: now, done: make(chan struct{})}
	e.checks[who] = c
	e.mu.Unlock()
	c.state = e.dialOnce(address)
	close(c.done)
	return c.state
}

func (e *endChecker) dialOnce(address string) endState {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	conn, err := e.dial(ctx, address)
	switch {
	case err == nil:
		_ = conn.Close()
		return upstreamAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return upstreamEnded
	}
	return endStateUnknown
}
