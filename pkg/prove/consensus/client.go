package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

const requestTimeout = 400 * time.Millisecond

// client reads and sets registers through any replica. Clients with an even number
// read from a random replica each time, whether or not it is the leader.
type client struct {
	w      *world
	number int
	rand   *rand.Rand
	leader raft.ID // as last reported; 0 if unknown
	next   int     // value to set
	seen   [registerCount]int
}

func newClient(w *world, number int) *client {
	return &client{
		w:      w,
		number: number,
		rand:   rand.New(rand.NewPCG(w.seed, uint64(number)+10)),
	}
}

func (c *client) run() {
	defer c.w.clients.Done()
	for {
		select {
		case <-c.w.stopClients:
			return
		case <-time.After(c.thinkTime()):
		}
		if c.w.clientsPaused.Load() {
			continue
		}
		key := c.rand.IntN(registerCount)
		if c.rand.IntN(2) == 0 {
			c.read(key)
		} else {
			c.set(key)
		}
	}
}

func (c *client) thinkTime() time.Duration {
	return time.Duration(20+c.rand.IntN(40)) * time.Millisecond
}

func (c *client) target(follow bool) *process {
	if follow && c.leader != 0 {
		if p := c.w.process(c.leader); p != nil && p.up() {
			return p
		}
	}
	ps := c.w.all()
	return ps[c.rand.IntN(len(ps))]
}

func (c *client) read(key int) {
	p := c.target(c.number%2 == 1)
	if !p.up() {
		return
	}
	node, state, alive := p.instance()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	called := c.w.history.now()
	_, err := node.ReadIndex(ctx)
	value := state.get(key)
	if err != nil || !alive.Load() {
		c.followRedirect(err)
		return // a read without an answer adds nothing to the history
	}
	c.seen[key] = value
	c.w.history.add(c.number, input{kind: opRead, key: key}, output{value: value}, called)
}

func (c *client) set(key int) {
	p := c.target(true)
	if !p.up() {
		return
	}
	c.next++
	in := input{kind: opSet, key: key, old: c.seen[key], new: c.number*1_000_000 + c.next}
	data, err := json.Marshal(command{Key: key, Old: in.old, New: in.new})
	if err != nil {
		return
	}
	node, _, alive := p.instance()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	called := c.w.history.now()
	v, err := node.Propose(ctx, data)
	if !alive.Load() {
		err = replica.ErrUnknownOutcome // the answer was lost with the process
	}
	c.recordResult(in, v, err, called)
}

func (c *client) recordResult(in input, v any, err error, called int64) {
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil:
		set := v.(bool)
		if set {
			c.seen[in.key] = in.new
		}
		c.w.history.add(c.number, in, output{set: set}, called)
	case errors.As(err, &notLeader), errors.Is(err, replica.ErrStopped):
		c.followRedirect(err)
	default:
		c.leader = 0
		c.w.history.add(c.number, in, output{unknown: true}, called)
	}
}

// followRedirect uses the leader that a replica named for the next request.
func (c *client) followRedirect(err error) {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		c.leader = notLeader.Leader
		return
	}
	c.leader = 0
}
