package replica

import "github.com/sesamemux/sesamemux/pkg/raft"

// Leadership tells who leads in a term.
type Leadership struct {
	IsLeader bool
	Term     uint64
	Leader   raft.ID // 0: none known
}

// Leadership returns the channel of changes. It holds one; a newer one
// replaces it. A leader's state may lack entries of former leaders until its
// first ReadIndex or Propose returns.
func (n *Node) Leadership() <-chan Leadership {
	return n.leaders
}

func (n *Node) announce() {
	st := n.core.BasicStatus()
	now := Leadership{IsLeader: st.Role == raft.Leader, Term: st.Term, Leader: st.Leader}
	if now == n.announced {
		return
	}
	if n.announced.IsLeader && (!now.IsLeader || now.Term != n.announced.Term) {
		n.waiters.failAfter(st.Committed)
	}
	n.announced = now
	n.cfg.Logger.Info("leadership", "replica", n.cfg.ID, "leader", now.Leader, "term", now.Term, "leads", now.IsLeader)
	select {
	case <-n.leaders:
	default:
	}
	n.leaders <- now
}
