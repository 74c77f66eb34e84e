package replica

import "github.com/sesamemux/sesamemux/pkg/raft"

// takeSnapshot takes a snapshot if enough has been applied since the last one and none is being
// written.
func (n *Node) takeSnapshot(since *snapshotProgress) {
	index := n.applied.get()
	due := index >= since.index+n.cfg.SnapshotEvery || since.bytes >= n.cfg.SnapshotBytes
	if !due || !n.snapshotPending.CompareAndSwap(false, true) {
		return
	}
	data, err := n.cfg.Applier.Snapshot()
	if err != nil {
		n.shutDown(err)
		return
	}
	n.takenSnapshots <- raft.Snapshot{Meta: raft.SnapshotMeta{Index: index}, Data: data}
	*since = snapshotProgress{index: index}
}

// addSnapshotMeta completes the snapshot's metadata, which only the core has, and passes the
// snapshot to the writer.
func (n *Node) addSnapshotMeta(s raft.Snapshot) {
	meta, ok := n.core.SnapshotMetaAt(s.Meta.Index)
	if !ok {
		n.snapshotPending.Store(false) // a newer snapshot has been installed meanwhile
		return
	}
	n.snapshotsToSave <- raft.Snapshot{Meta: meta, Data: s.Data}
}

// runSnapshots writes snapshots concurrently with the log.
func (n *Node) runSnapshots() {
	defer n.goroutines.Done()
	for {
		select {
		case <-n.stop:
			return
		case s := <-n.snapshotsToSave:
			if err := n.log.SaveSnapshot(s); err != nil {
				n.shutDown(err)
				return
			}
			n.savedSnapshots <- s
		}
	}
}

// compactLog removes the entries covered by the snapshot on disk.
func (n *Node) compactLog(s raft.Snapshot) {
	defer n.snapshotPending.Store(false)
	if _, ok := n.core.Compact(s.Meta.Index, s.Data); !ok {
		return
	}
	if err := n.log.Compact(s.Meta.Index); err != nil {
		n.shutDown(err)
		return
	}
	n.cfg.Logger.Info("snapshot", "replica", n.cfg.ID, "index", s.Meta.Index, "bytes", len(s.Data))
}
