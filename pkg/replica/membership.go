package replica

import (
	"context"
	"errors"
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

// AddLearner adds a replica that receives the log but does not vote, and waits for the commit. Its
// ID must be greater than all IDs used so far.
func (n *Node) AddLearner(ctx context.Context, id raft.ID, address string) error {
	return n.changeMembership(ctx, func() (uint64, uint64, error) {
		return n.core.AddLearner(id, address)
	})
}

// Promote makes a learner a voter once it has caught up with the log, and waits for the commit.
func (n *Node) Promote(ctx context.Context, id raft.ID) error {
	return n.changeMembership(ctx, func() (uint64, uint64, error) {
		return n.core.Promote(id)
	})
}

// Remove removes a replica from the membership and waits for the commit.
func (n *Node) Remove(ctx context.Context, id raft.ID) error {
	return n.changeMembership(ctx, func() (uint64, uint64, error) {
		return n.core.Remove(id)
	})
}

// changeMembership retries a proposal while an earlier change is pending or the learner is behind.
// Such an attempt appends nothing to the log.
func (n *Node) changeMembership(ctx context.Context, propose func() (uint64, uint64, error)) error {
	for {
		err := n.tryMembershipChange(ctx, propose)
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

func (n *Node) tryMembershipChange(ctx context.Context, propose func() (uint64, uint64, error)) error {
	done := make(chan proposalOutcome, 1)
	err := n.runInCore(ctx, func() {
		index, term, err := propose()
		if err != nil {
			done <- proposalOutcome{err: n.translateError(err)}
			return
		}
		n.waiters.add(index, term, done)
	})
	if err != nil {
		return err
	}
	_, err = n.awaitOutcome(ctx, done)
	return err
}

// TransferLeadership transfers the leadership to a voter and waits until this replica no longer
// leads.
func (n *Node) TransferLeadership(ctx context.Context, to raft.ID) error {
	done := make(chan error, 1)
	err := n.runInCore(ctx, func() {
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

// runInCore passes a function to the core's goroutine, which will run it. It does not wait for the
// function to return. When it returns an error, the function does not run.
func (n *Node) runInCore(ctx context.Context, f func()) error {
	select {
	case n.commands <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stop:
		return ErrStopped
	}
}
