package replica

import (
	"context"
	"errors"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

type proposal struct {
	command []byte
	done    chan proposalOutcome // buffered, for one
}

// Propose replicates a command and returns the result of Applier.Apply. If ctx ends after the
// command was submitted, the outcome is unknown.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	p := &proposal{command: command, done: make(chan proposalOutcome, 1)}
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
	return n.awaitOutcome(ctx, p.done)
}

func (n *Node) awaitOutcome(ctx context.Context, done chan proposalOutcome) (any, error) {
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
		p.done <- proposalOutcome{err: n.translateError(err)}
		return
	}
	n.waiters.add(index, term, p.done)
}

// translateError converts errors of the raft core into errors of this package.
func (n *Node) translateError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrTransferring) {
		return &NotLeaderError{Leader: n.core.BasicStatus().NextLeader}
	}
	return err
}
