package replica

import "github.com/sesamemux/sesamemux/pkg/raft"

// committedBatch holds either committed entries or a snapshot that replaces the state.
type committedBatch struct {
	entries  []raft.Entry
	snapshot *raft.Snapshot
}

// runApply runs the only goroutine that uses the Applier.
func (n *Node) runApply() {
	defer n.goroutines.Done()
	since := snapshotProgress{index: n.applied.get()}
	for {
		select {
		case <-n.stop:
			return
		case b := <-n.committed:
			n.applyCommitted(b, &since)
		}
		select {
		case n.applyProgress <- struct{}{}:
		default:
		}
	}
}

// snapshotProgress holds the index of the latest snapshot and the total size of the commands
// applied after it.
type snapshotProgress struct {
	index uint64
	bytes int
}

func (n *Node) applyCommitted(b committedBatch, since *snapshotProgress) {
	if b.snapshot != nil {
		n.restoreSnapshot(*b.snapshot)
		*since = snapshotProgress{index: b.snapshot.Meta.Index}
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

func (n *Node) restoreSnapshot(s raft.Snapshot) {
	if err := n.cfg.Applier.Restore(s.Data); err != nil {
		n.shutDown(err)
		return
	}
	n.applied.set(s.Meta.Index)
}
