package replica

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

type readRequest struct {
	done chan readOutcome // buffered, for one
}

type readOutcome struct {
	index uint64
	err   error
}

// ReadIndex confirms the leadership by a round of messages that begins after the call. It returns
// once the local state has applied everything that was committed by then. Concurrent calls share a
// round.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	r := &readRequest{done: make(chan readOutcome, 1)}
	select {
	case n.reads <- r:
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-n.stop:
		return 0, ErrStopped
	}
	select {
	case o := <-r.done:
		if o.err != nil {
			return 0, o.err
		}
		return o.index, n.waitApplied(ctx, o.index)
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-n.done:
		return 0, ErrStopped
	}
}

func (n *Node) waitApplied(ctx context.Context, index uint64) error {
	ch := n.applied.notifyAt(index)
	defer n.applied.stopNotify(ch)
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return ErrStopped
	}
}

// startReads starts one read of the core on behalf of all pending requests.
func (n *Node) startReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	n.lastReadToken++
	n.readBatches[n.lastReadToken] = n.pendingReads
	n.pendingReads = nil
	n.core.ReadIndex(n.lastReadToken)
}

func (n *Node) completeReads(rs []raft.ReadState) {
	for _, r := range rs {
		o := readOutcome{index: r.Index}
		if !r.OK {
			o = readOutcome{err: &NotLeaderError{Leader: n.core.BasicStatus().NextLeader}}
		}
		for _, req := range n.readBatches[r.Token] {
			req.done <- o
		}
		delete(n.readBatches, r.Token)
	}
}
