package replica

import (
	"context"
	"errors"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

type proposal struct {
	command []byte
	term    uint64               // in which the command may be proposed; 0: any
	done    chan proposalOutcome // buffered, for one
}

// Propose replicates a command and returns the result of Applier.Apply. If ctx ends after the
// command was submitted, the outcome is unknown.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	outcome, err := n.Submit(ctx, 0, command)
	if err != nil {
		return nil, err
	}
	return outcome(ctx)
}

// Submit queues a command that is replicated only in the given term, or in any if that is 0, and after
// those submitted before. The returned function waits for the result as Propose does.
func (n *Node) Submit(ctx context.Context, term uint64, command []byte) (outcome func(context.Context) (any, error), err error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	p := &proposal{command: command, term: term, done: make(chan proposalOutcome, 1)}
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
	return func(ctx context.Context) (any, error) { return n.awaitOutcome(ctx, p.done) }, nil
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
	if st := n.core.BasicStatus(); p.term != 0 && p.term != st.Term {
		p.done <- proposalOutcome{err: &NotLeaderError{Leader: st.NextLeader}}
		return
	}
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
