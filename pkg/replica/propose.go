package replica

import (
	"context"
	"errors"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

type proposal struct {
	command []byte
	done    chan outcome // holds one
}

// Propose replicates a command and returns what Applier.Apply returned for
// it. When ctx ends after the command was handed over, the outcome is unknown.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	p := &proposal{command: command, done: make(chan outcome, 1)}
	select {
	case <-n.stop:
		return nil, ErrStopped
	default:
	}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.stop:
		return nil, ErrStopped
	}
	return n.await(ctx, p.done)
}

func (n *Node) await(ctx context.Context, done chan outcome) (any, error) {
	select {
	case o := <-done:
		return o.value, o.err
	case <-ctx.Done():
	case <-n.done:
	}
	select {
	case o := <-done:
		return o.value, o.err
	default:
		return nil, ErrUnknownOutcome
	}
}

func (n *Node) propose(p *proposal) {
	index, term, err := n.core.Propose(p.command)
	if err != nil {
		p.done <- outcome{err: n.notLeader(err)}
		return
	}
	n.waiters.add(index, term, p.done)
}

// notLeader turns the core's errors into this layer's.
func (n *Node) notLeader(err error) error {
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrTransferring) {
		return &NotLeaderError{Leader: n.core.BasicStatus().NextLeader}
	}
	return err
}
