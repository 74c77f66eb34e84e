package replica

import (
	"context"
	"errors"
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

// AddLearner adds a replica that takes the log without voting, and waits for
// the commit. Its ID must be above all IDs used so far.
func (n *Node) AddLearner(ctx context.Context, id raft.ID, address string) error {
	return n.change(ctx, func() (uint64, uint64, error) {
		return n.core.AddLearner(id, address)
	})
}

// Promote makes a learner a voter once it holds the log, and waits for the
// commit.
func (n *Node) Promote(ctx context.Context, id raft.ID) error {
	return n.change(ctx, func() (uint64, uint64, error) {
		return n.core.Promote(id)
	})
}

// Remove takes a replica out and waits for the commit.
func (n *Node) Remove(ctx context.Context, id raft.ID) error {
	return n.change(ctx, func() (uint64, uint64, error) {
		return n.core.Remove(id)
	})
}

// change repeats a proposal that has to wait for an earlier change or for the
// learner. Nothing of such a try is in the log.
func (n *Node) change(ctx context.Context, propose func() (uint64, uint64, error)) error {
	for {
		err := n.tryChange(ctx, propose)
		if !errors.Is(err, raft.ErrChangePending) && !errors.Is(err, raft.ErrLearnerBehind) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-n.stop:
			return ErrStopped
		case <-time.After(memberRetryTicks * n.cfg.TickInterval):
		}
	}
}

func (n *Node) tryChange(ctx context.Context, propose func() (uint64, uint64, error)) error {
	done := make(chan outcome, 1)
	err := n.do(ctx, func() {
		index, term, err := propose()
		if err != nil {
			done <- outcome{err: n.notLeader(err)}
			return
		}
		n.waiters.add(index, term, done)
	})
	if err != nil {
		return err
	}
	_, err = n.await(ctx, done)
	return err
}

// TransferLeadership hands leadership to a voter and waits until this replica
// no longer leads.
func (n *Node) TransferLeadership(ctx context.Context, to raft.ID) error {
	done := make(chan error, 1)
	err := n.do(ctx, func() {
		done <- n.core.TransferLeadership(to)
	})
	if err != nil {
		return err
	}
	if err := <-done; err != nil {
		return n.transferError(ctx, err)
	}
	for {
		st, err := n.Status(ctx)
		if err != nil || st.Role != raft.Leader || to == n.cfg.ID {
			return err
		}
		if !st.Transferring {
			return ErrTransferFailed
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.stop:
			return ErrStopped
		case <-time.After(n.cfg.TickInterval):
		}
	}
}

func (n *Node) transferError(ctx context.Context, err error) error {
	if !errors.Is(err, raft.ErrNotLeader) {
		return err
	}
	st, statusErr := n.Status(ctx)
	if statusErr != nil {
		return statusErr
	}
	return &NotLeaderError{Leader: st.Leader}
}

// do runs a function in the core's goroutine. When it returns an error the
// function may still run.
func (n *Node) do(ctx context.Context, f func()) error {
	select {
	case n.commands <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stop:
		return ErrStopped
	}
}
