package replica

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

type readRequest struct {
	done chan readOutcome // holds one
}

type readOutcome struct {
	index uint64
	err   error
}

// ReadIndex confirms leadership by a round that begins after the call, and
// returns once the local state has applied all that was committed by then.
// Calls that come together share a round.
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
	ch := n.applied.reached(index)
	defer n.applied.forget(ch)
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return ErrStopped
	}
}

// startReads asks the core once for all reads that came in.
func (n *Node) startReads() {
	if len(n.batch) == 0 {
		return
	}
	n.readToken++
	n.readSets[n.readToken] = n.batch
	n.batch = nil
	n.core.ReadIndex(n.readToken)
}

func (n *Node) finishReads(rs []raft.ReadState) {
	for _, r := range rs {
		o := readOutcome{index: r.Index}
		if !r.OK {
			o = readOutcome{err: &NotLeaderError{Leader: n.core.BasicStatus().NextLeader}}
		}
		for _, req := range n.readSets[r.Token] {
			req.done <- o
		}
		delete(n.readSets, r.Token)
	}
}
