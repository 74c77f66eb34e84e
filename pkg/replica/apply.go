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
	since := sinceSnapshot{index: n.applied.get()}
	for {
		select {
		case <-n.stop:
			return
		case b := <-n.batches:
			n.applyBatch(b, &since)
		}
		select {
		case n.progress <- struct{}{}:
		default:
		}
	}
}

// sinceSnapshot is the latest snapshot's index and the bytes of commands
// applied after it.
type sinceSnapshot struct {
	index uint64
	bytes int
}

func (n *Node) applyBatch(b applyBatch, since *sinceSnapshot) {
	if b.snapshot != nil {
		n.restore(*b.snapshot)
		*since = sinceSnapshot{index: b.snapshot.Meta.Index}
		return
	}
	for _, e := range b.entries {
		var value any
		if e.Type == raft.EntryCommand {
			value = n.cfg.Applier.Apply(e.Index, e.Data)
		}
		since.bytes += len(e.Data)
		n.applied.set(e.Index)
		n.waiters.resolve(e.Index, e.Term, value)
	}
	n.takeSnapshot(since)
}

func (n *Node) restore(s raft.Snapshot) {
	if err := n.cfg.Applier.Restore(s.Data); err != nil {
		n.end(err)
		return
	}
	n.applied.set(s.Meta.Index)
}
