package replica

import "github.com/sesamemux/sesamemux/pkg/raft"

// Leadership is the leadership of a term as known to a replica.
type Leadership struct {
	IsLeader bool // whether this replica leads
	Term     uint64
	Leader   raft.ID // 0: unknown
}

// Leadership returns the channel of leadership changes. It buffers only the latest one. A new
// leader's state may lack entries of former leaders until its first ReadIndex or Propose returns.
func (n *Node) Leadership() <-chan Leadership {
	return n.leadershipChanges
}

func (n *Node) publishLeadership() {
	st := n.core.BasicStatus()
	now := Leadership{IsLeader: st.Role == raft.Leader, Term: st.Term, Leader: st.Leader}
	if now == n.lastLeadership {
		return
	}
	if n.lastLeadership.IsLeader && (!now.IsLeader || now.Term != n.lastLeadership.Term) {
		n.waiters.failAfter(st.Committed)
	}
	n.lastLeadership = now
	n.cfg.Logger.Info("leadership", "replica", n.cfg.ID, "leader", now.Leader, "term", now.Term, "leads", now.IsLeader)
	select {
	case <-n.leadershipChanges:
	default:
	}
	n.leadershipChanges <- now
}
