package replica

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// runCore is the only goroutine that touches the core and the log.
func (n *Node) runCore() {
	defer n.running.Done()
	ticker := time.NewTicker(n.cfg.TickInterval)
	defer ticker.Stop()
	n.work()
	for !n.stopping() {
		n.wait(ticker.C)
		n.drain()
		n.startReads()
		n.work()
	}
}

// wait takes one event, whatever comes first.
func (n *Node) wait(tick <-chan time.Time) {
	select {
	case <-n.stop:
	case <-tick:
		n.core.Tick()
	case m := <-n.inbound:
		n.step(m)
	case p := <-n.openProposals():
		n.propose(p)
	case r := <-n.reads:
		n.batch = append(n.batch, r)
	case f := <-n.commands:
		f()
	case s := <-n.taken:
		n.nameSnapshot(s)
	case s := <-n.saved:
		n.compact(s)
	case <-n.progress:
	}
}

// drain takes what else is there, so that one sync serves all of it.
func (n *Node) drain() {
	for range drainLimit {
		select {
		case m := <-n.inbound:
			n.step(m)
		case p := <-n.openProposals():
			n.propose(p)
		case r := <-n.reads:
			n.batch = append(n.batch, r)
		default:
			return
		}
	}
}

// openProposals is nil while too many proposals wait for their commit.
func (n *Node) openProposals() <-chan *proposal {
	if n.waiters.len() >= pendingProposals {
		return nil
	}
	return n.proposals
}

func (n *Node) step(m raft.Message) {
	if m.Address != "" && (n.addresses[m.From] != "" || len(n.addresses) < learntAddresses) {
		n.addresses[m.From] = m.Address
	}
	n.core.Step(m)
}

// work carries out what the core wants until it wants nothing more.
func (n *Node) work() {
	n.core.Flush()
	for n.core.HasReady() && !n.stopping() {
		n.carryOut(n.core.Ready())
	}
	n.handOver()
	n.announce()
}

func (n *Node) carryOut(rd raft.Ready) {
	n.sendAll(rd.EarlyMessages)
	if err := n.persist(rd); err != nil {
		n.end(err)
		return
	}
	n.core.Advance(rd)
	n.sendAll(rd.Messages)
	n.finishReads(rd.ReadStates)
	if rd.Refused != raft.RefusalNone {
		n.end(&RefusedError{ID: n.cfg.ID, Reason: rd.Refused})
	}
}

func (n *Node) persist(rd raft.Ready) error {
	if rd.Watermarks != nil {
		n.marks = rd.Watermarks
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
		Marks:     n.marks,
	})
	n.marks = nil
	if err != nil || rd.Snapshot == nil {
		return err
	}
	return n.installed(*rd.Snapshot)
}

// installed goes on from a snapshot that a leader sent.
func (n *Node) installed(s raft.Snapshot) error {
	n.cfg.Logger.Info("snapshot installed", "replica", n.cfg.ID, "index", s.Meta.Index, "bytes", len(s.Data))
	select {
	case n.batches <- applyBatch{snapshot: &s}:
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

// handOver gives committed entries to the applier as far as it has room.
func (n *Node) handOver() {
	for len(n.batches) < cap(n.batches) {
		es := n.core.NextCommitted(applyBatchBytes)
		if len(es) == 0 {
			return
		}
		n.batches <- applyBatch{entries: es}
	}
}
