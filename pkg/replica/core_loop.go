package replica

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// runCore runs the only goroutine that uses the raft core and, except for SaveSnapshot, the log.
func (n *Node) runCore() {
	defer n.goroutines.Done()
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	n.processReady()
	for !n.stopping() {
		n.turnedAt.Store(int64(time.Since(n.openedAt)))
		n.handleNext(ticker.C)
		n.handleQueued()
		n.startReads()
		n.processReady()
	}
}

// handleNext waits for the next event and handles it.
func (n *Node) handleNext(tick <-chan time.Time) {
	select {
	case <-n.stop:
	case <-tick:
		n.core.Tick()
	case m := <-n.inbound:
		n.step(m)
	case p := <-n.acceptedProposals():
		n.propose(p)
	case r := <-n.reads:
		n.pendingReads = append(n.pendingReads, r)
	case f := <-n.commands:
		f()
	case s := <-n.takenSnapshots:
		n.addSnapshotMeta(s)
	case s := <-n.savedSnapshots:
		n.compactLog(s)
	case <-n.applyProgress:
	}
}

// handleQueued handles the events that are already queued, so that one sync serves all of them.
func (n *Node) handleQueued() {
	for range maxBatchEvents {
		select {
		case m := <-n.inbound:
			n.step(m)
		case p := <-n.acceptedProposals():
			n.propose(p)
		case r := <-n.reads:
			n.pendingReads = append(n.pendingReads, r)
		default:
			return
		}
	}
}

// acceptedProposals returns the channel of proposals, or nil while too many proposals wait for
// their commit.
func (n *Node) acceptedProposals() <-chan *proposal {
	if n.waiters.len() >= maxPendingProposals {
		return nil
	}
	return n.proposals
}

func (n *Node) step(m raft.Message) {
	if m.Address != "" && (n.addresses[m.From] != "" || len(n.addresses) < maxLearnedAddresses) {
		n.addresses[m.From] = m.Address
	}
	n.core.Step(m)
}

// processReady handles the core's output until there is none left.
func (n *Node) processReady() {
	n.core.Flush()
	for n.core.HasReady() && !n.stopping() {
		n.handleReady(n.core.Ready())
	}
	n.queueCommitted()
	n.publishLeadership()
}

func (n *Node) handleReady(rd raft.Ready) {
	n.sendAll(rd.EarlyMessages)
	if err := n.persist(rd); err != nil {
		n.shutDown(err)
		return
	}
	n.core.Advance(rd)
	n.sendAll(rd.Messages)
	n.completeReads(rd.ReadStates)
	if rd.Refused != raft.RefusalNone {
		n.shutDown(&RefusedError{ID: n.cfg.ID, Reason: rd.Refused})
	}
}

func (n *Node) persist(rd raft.Ready) error {
	if rd.Watermarks != nil {
		n.unsavedMarks = rd.Watermarks
	}
	if !rd.MustSync() {
		return nil
	}
	if rd.Identity != nil {
		if err := n.log.SaveIdentity(*rd.Identity); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil {
		if err := n.log.SaveSnapshot(*rd.Snapshot); err != nil {
			return err
		}
	}
	err := n.log.Save(wal.Batch{
		Reset:     rd.Snapshot != nil,
		Entries:   rd.Entries,
		HardState: rd.HardState,
		Marks:     n.unsavedMarks,
	})
	n.unsavedMarks = nil
	if err != nil || rd.Snapshot == nil {
		return err
	}
	return n.installSnapshot(*rd.Snapshot)
}

// installSnapshot applies a snapshot received from the leader and compacts the log.
func (n *Node) installSnapshot(s raft.Snapshot) error {
	n.cfg.Logger.Info("snapshot from the leader installed", "replica", n.cfg.ID, "index", s.Meta.Index, "bytes", len(s.Data))
	select {
	case n.committed <- committedBatch{snapshot: &s}:
	case <-n.stop:
	}
	return n.log.Compact(s.Meta.Index)
}

func (n *Node) sendAll(ms []raft.Message) {
	for _, m := range ms {
		address := n.addressOf(m.To)
		if address == "" {
			continue
		}
		m.Cluster = n.cfg.ClusterID
		m.Address = n.cfg.Address
		n.cfg.Transport.Send(m.To, address, m)
	}
}

func (n *Node) addressOf(id raft.ID) string {
	if m, ok := n.core.Membership().Member(id); ok {
		return m.Address
	}
	return n.addresses[id]
}

// queueCommitted queues committed entries for the applier as long as its queue has room.
func (n *Node) queueCommitted() {
	for len(n.committed) < cap(n.committed) {
		es := n.core.NextCommitted(maxCommittedBatchBytes)
		if len(es) == 0 {
			return
		}
		n.committed <- committedBatch{entries: es}
	}
}
