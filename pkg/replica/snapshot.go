package replica

import "github.com/sesamemux/sesamemux/pkg/raft"

// takeSnapshot takes one when enough was applied since the last and none is
// on its way to the disk.
func (n *Node) takeSnapshot(since *sinceSnapshot) {
	index := n.applied.get()
	due := index >= since.index+n.cfg.SnapshotEvery || since.bytes >= n.cfg.SnapshotBytes
	if !due || !n.saving.CompareAndSwap(false, true) {
		return
	}
	data, err := n.cfg.Applier.Snapshot()
	if err != nil {
		n.end(err)
		return
	}
	n.taken <- raft.Snapshot{Meta: raft.SnapshotMeta{Index: index}, Data: data}
	*since = sinceSnapshot{index: index}
}

// nameSnapshot adds what the core knows of the entry and passes it to the
// writer.
func (n *Node) nameSnapshot(s raft.Snapshot) {
	meta, ok := n.core.SnapshotMetaAt(s.Meta.Index)
	if !ok {
		n.saving.Store(false) // a newer one was installed meanwhile
		return
	}
	n.toSave <- raft.Snapshot{Meta: meta, Data: s.Data}
}

// runSnapshots writes snapshots beside the log.
func (n *Node) runSnapshots() {
	defer n.running.Done()
	for {
		select {
		case <-n.stop:
			return
		case s := <-n.toSave:
			if err := n.log.SaveSnapshot(s); err != nil {
				n.end(err)
				return
			}
			n.saved <- s
		}
	}
}

// compact drops what the snapshot on disk covers.
func (n *Node) compact(s raft.Snapshot) {
	defer n.saving.Store(false)
	if _, ok := n.core.Compact(s.Meta.Index, s.Data); !ok {
		return
	}
	if err := n.log.Compact(s.Meta.Index); err != nil {
		n.end(err)
		return
	}
	n.cfg.Logger.Info("snapshot", "replica", n.cfg.ID, "index", s.Meta.Index, "bytes", len(s.Data))
}
