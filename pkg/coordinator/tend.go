package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// join gives a coordinator without a replica a place: a new replica at its
// address takes the place of an older one there.
func (c *Coordinator) join(ctx context.Context, req control.FleetJoinRequest) (control.FleetJoinResult, error) {
	r := c.node.Load()
	if r == nil {
		return control.FleetJoinResult{}, notLeader("")
	}
	st, err := r.node.Status(ctx)
	if err != nil {
		return control.FleetJoinResult{}, c.translate(err)
	}
	if st.Role != raft.Leader {
		return control.FleetJoinResult{}, notLeader(c.leaderPeer())
	}
	for _, m := range st.Membership.Members {
		if m.Address != req.Address {
			continue
		}
		if err := r.node.Remove(ctx, m.ID); err != nil {
			return control.FleetJoinResult{}, c.translate(err)
		}
		c.cfg.Logger.Info("replica removed", "replica", m.ID, "address", m.Address, "cause", "its coordinator has no disk of it any more")
	}
	id := st.Membership.HighestID + 1
	if err := r.node.AddLearner(ctx, id, req.Address); err != nil {
		return control.FleetJoinResult{}, c.translate(err)
	}
	c.cfg.Logger.Info("replica added", "replica", id, "address", req.Address)
	c.mu.Lock()
	if c.leads != nil {
		// Its silence counts from now.
		c.note(c.leads, control.FleetSyncRequest{Process: req.Address})
	}
	c.mu.Unlock()
	return control.FleetJoinResult{Replica: uint64(id), Cluster: r.cluster, Peers: c.peers()}, nil
}

// tend keeps the wanted number of live voters: coordinators that wait and hold
// the log vote where voters are missing or silent.
func (c *Coordinator) tend(ctx context.Context) {
	tick := time.NewTicker(tendInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r := c.node.Load()
		if r == nil {
			continue
		}
		if err := c.tendOnce(ctx, r.node); err != nil {
			c.cfg.Logger.Warn("quorum could not be mended", "cause", err)
		}
	}
}

func (c *Coordinator) tendOnce(ctx context.Context, node *replica.Node) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	st, err := node.Status(ctx)
	if err != nil || len(st.Membership.Members) == 0 {
		return nil // it is closing; the next look follows
	}
	c.member.learnMembers(st.Membership)
	if st.Role != raft.Leader {
		return nil
	}
	d := tendDecision(st.Status, c.silences(st.Membership), c.cfg.Voters)
	switch {
	case d.remove != 0:
		c.cfg.Logger.Info("replica removed", "replica", d.remove, "cause", d.cause)
		return eris.Wrapf(node.Remove(ctx, d.remove), "remove replica %d", d.remove)
	case d.promote != 0:
		c.cfg.Logger.Info("replica promoted", "replica", d.promote, "cause", d.cause)
		return eris.Wrapf(node.Promote(ctx, d.promote), "promote replica %d", d.promote)
	}
	return nil
}

// silences returns how long each other replica's coordinator has not asked for
// news.
func (c *Coordinator) silences(ms raft.Membership) map[raft.ID]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := map[raft.ID]time.Duration{}
	if c.leads == nil {
		return silent
	}
	now := c.now()
	for _, m := range ms.Members {
		if m.Address == c.cfg.PeerAddress {
			continue
		}
		since := c.leads.since
		if p := c.leads.syncs[m.Address]; p != nil {
			since = p.at
		}
		silent[m.ID] = now - since
	}
	return silent
}

// tending is one change of the membership, or none.
type tending struct {
	remove  raft.ID
	promote raft.ID
	cause   string
}

// tendDecision decides the next change of the membership. A silent voter is
// removed only for a learner that is live and holds the log.
func tendDecision(st raft.Status, silent map[raft.ID]time.Duration, want int) tending {
	voters := st.Membership.Voters()
	waiting := raft.ID(0)
	for _, m := range st.Membership.Members {
		if !m.Learner {
			continue
		}
		if silent[m.ID] > learnerSilence {
			return tending{remove: m.ID, cause: "it went silent while it waited"}
		}
		if waiting == 0 && silent[m.ID] < tendInterval*2 && holdsLog(st, m.ID) {
			waiting = m.ID
		}
	}
	if waiting == 0 {
		return tending{}
	}
	if len(voters) < want {
		return tending{promote: waiting, cause: "voters are missing"}
	}
	for _, id := range voters {
		if id != st.ID && silent[id] > voterSilence {
			return tending{remove: id, cause: "it went silent and another can take its place"}
		}
	}
	return tending{}
}

// holdsLog tells whether a learner has all that is committed.
func holdsLog(st raft.Status, id raft.ID) bool {
	i := slices.IndexFunc(st.Followers, func(f raft.FollowerStatus) bool { return f.ID == id })
	return i >= 0 && st.Followers[i].Match >= st.Committed
}
