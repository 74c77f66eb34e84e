package replica

import "github.com/sesamemux/sesamemux/pkg/raft"

// applyBatch is either entries or a snapshot that replaces the state.
type applyBatch struct {
	entries  []raft.Entry
	snapshot *raft.Snapshot
}

// runApply is the only goroutine that touches the Applier.
func (n *Node) runApply() {
	defer n.running.Done()
	last := n.applied.get() // of the latest snapshot
	for {
		select {
		case <-n.stop:
			return
		case b := <-n.batches:
			last = n.applyBatch(b, last)
		}
		select {
		case n.progress <- struct{}{}:
		default:
		}
	}
}

func (n *Node) applyBatch(b applyBatch, lastSnapshot uint64) uint64 {
	if b.snapshot != nil {
		return n.restore(*b.snapshot)
	}
	for _, e := range b.entries {
		var value any
		if e.Type == raft.EntryCommand {
			value = n.cfg.Applier.Apply(e.Index, e.Data)
		}
		n.applied.set(e.Index)
		n.waiters.resolve(e.Index, e.Term, value)
	}
	return n.takeSnapshot(lastSnapshot)
}

func (n *Node) restore(s raft.Snapshot) uint64 {
	if err := n.cfg.Applier.Restore(s.Data); err != nil {
		n.end(err)
		return s.Meta.Index
	}
	n.applied.set(s.Meta.Index)
	return s.Meta.Index
}
