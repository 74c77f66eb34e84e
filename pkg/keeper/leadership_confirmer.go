package keeper

import (
	"context"
	"sync"
	"time"
)

const (
	// confirmBatchDelay is how long a round waits for more calls to join before it starts.
	confirmBatchDelay = 20 * time.Millisecond
	// confirmTimeout limits one round.
	confirmTimeout = time.Second
)

// leadershipConfirmer confirms the leadership for many concurrent calls with one round of messages.
type leadershipConfirmer struct {
	log ReplicatedLog

	mu   sync.Mutex
	next *round // round that calls still join; nil if no call waits
}

// round is one confirmation of the leadership. Its error is valid once done is closed.
type round struct {
	done chan struct{}
	err  error
}

func newLeadershipConfirmer(l ReplicatedLog) *leadershipConfirmer {
	return &leadershipConfirmer{log: l}
}

// confirm waits for a round that begins after the call, and returns its error.
func (c *leadershipConfirmer) confirm(ctx context.Context) error {
	r := c.joinRound()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinRound returns the round that calls still join, and starts one if there is none.
func (c *leadershipConfirmer) joinRound() *round {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &round{done: make(chan struct{})}
		go c.run(c.next)
	}
	return c.next
}

// run waits for calls to join the round, then confirms the leadership for all of them.
func (c *leadershipConfirmer) run(r *round) {
	time.Sleep(confirmBatchDelay)
	c.mu.Lock()
	c.next = nil
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	_, r.err = c.log.ReadIndex(ctx)
	close(r.done)
}
