package keeper

import (
	"context"
	"sync"
	"time"
)

const (
	// confirmWindow is how long a confirming round waits for more calls.
	confirmWindow = 20 * time.Millisecond
	// confirmTimeout bounds one round.
	confirmTimeout = time.Second
)

// confirmer confirms the leadership for many calls by one round.
type confirmer struct {
	log ReplicatedLog

	mu   sync.Mutex
	next *round // gathers calls; nil while none waits
}

// round is one confirming round; its error is set when done is closed.
type round struct {
	done chan struct{}
	err  error
}

func newConfirmer(l ReplicatedLog) *confirmer {
	return &confirmer{log: l}
}

// confirm waits for a round that begins after the call.
func (c *confirmer) confirm(ctx context.Context) error {
	r := c.join()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the round that gathers calls, and starts one if there is none.
func (c *confirmer) join() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
		go c.run(c.next)
	}
	return c.next
}

// run gathers calls for a while and confirms for all of them.
func (c *confirmer) run(r *round) {
	time.Sleep(confirmWindow)
	c.mu.Lock()
	c.next = nil
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	_, r.err = c.log.ReadIndex(ctx)
	close(r.done)
}
