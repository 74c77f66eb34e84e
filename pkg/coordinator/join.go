package coordinator

import (
	"context"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// joinSilenceTicks is how many ticks of the leader a replica must send no reply after a join from its address
// has arrived, before it counts as lost.
const joinSilenceTicks = electionTicks

// joinReferral tells a joiner where else it may ask, given the status of a replica that does not lead, zero
// if none is open.
func (c *Coordinator) joinReferral(st replica.Status) error {
	data := control.NotLeader{Replica: replicaState(st), Coordinators: c.coordinatorAddresses()}
	if leader, ok := st.Membership.Member(st.Leader); ok {
		data.Leader = leader.Address
	}
	return control.NewError(control.CodeNotLeader, "this coordinator does not lead", data)
}

// replicaState returns the state of a replica, given its status, zero if none is open.
func replicaState(st replica.Status) control.ReplicaState {
	switch {
	case st.ID == 0:
		return control.ReplicaNone
	case st.Membership.IsVoter(st.ID):
		return control.ReplicaVoter
	}
	return control.ReplicaLearner
}

// removeLost removes the replica at the address of a joiner. A replica that replies is in use, so that the
// join is an old one.
func (c *Coordinator) removeLost(ctx context.Context, node *replica.Node, m raft.Member) error {
	replied, err := awaitReply(ctx, node, m.ID)
	if err != nil {
		return c.toRPCError(err)
	}
	if replied {
		c.cfg.Logger.Warn("join refused", "address", m.Address, "cause", "replica there is in use", "replica", m.ID)
		return control.NewError(control.CodeReplicaInUse, "replica "+strconv.FormatUint(uint64(m.ID), 10)+" at "+m.Address+" is in use", nil)
	}
	if err := node.Remove(ctx, m.ID); err != nil && !eris.Is(err, raft.ErrNotMember) {
		return c.toRPCError(err)
	}
	c.cfg.Logger.Info("replica removed", "replica", m.ID, "address", m.Address, "cause", "its coordinator lost the replica's data")
	return nil
}

// awaitReply reports whether a replica replies to this leader, or is this leader. The silence is counted in
// ticks of the leader, which pass only while it works.
func awaitReply(ctx context.Context, node *replica.Node, id raft.ID) (bool, error) {
	first, last := -1, -1
	for {
		st, err := leaderStatus(ctx, node)
		if err != nil {
			return false, err
		}
		i := slices.IndexFunc(st.Followers, func(f raft.FollowerStatus) bool { return f.ID == id })
		if i < 0 {
			return id == st.ID, nil
		}
		silent := st.Followers[i].SilentTicks
		switch {
		case first < 0:
			first = silent
		case silent < last:
			return true, nil
		case silent-first >= joinSilenceTicks:
			return false, nil
		}
		last = silent
		clock.Sleep(ctx, replica.DefaultTickInterval)
	}
}

// leaderStatus returns the status of a replica that leads.
func leaderStatus(ctx context.Context, node *replica.Node) (replica.Status, error) {
	if ctx.Err() != nil {
		return replica.Status{}, ctx.Err()
	}
	st, err := node.Status(ctx)
	if err == nil && st.Role != raft.Leader {
		err = &replica.NotLeaderError{Leader: st.Leader}
	}
	return st, err
}

// addLearner adds a learner under the next free ID.
func addLearner(ctx context.Context, node *replica.Node, address string) (raft.ID, error) {
	for {
		st, err := leaderStatus(ctx, node)
		if err != nil {
			return 0, err
		}
		id := st.Membership.HighestID + 1
		if err := node.AddLearner(ctx, id, address); !eris.Is(err, raft.ErrIDUsed) {
			return id, err
		}
	}
}

// confirmAssignment answers a join with a replica whose addition is committed, if it has not been removed since.
func (c *Coordinator) confirmAssignment(ctx context.Context, r *openReplica, id raft.ID) (control.FleetJoinResult, error) {
	st, err := leaderStatus(ctx, r.node)
	if err != nil {
		return control.FleetJoinResult{}, c.toRPCError(err)
	}
	if _, ok := st.CommittedMembership.Member(id); !ok {
		return control.FleetJoinResult{}, control.NewError(control.CodeUnavailable, "replica "+strconv.FormatUint(uint64(id), 10)+" was removed before it was told", nil)
	}
	return control.FleetJoinResult{Replica: uint64(id), Cluster: r.cluster, Peers: c.coordinatorAddresses()}, nil
}

// handleRemoved tells whether a replica was removed by a membership that is committed.
func (c *Coordinator) handleRemoved(ctx context.Context, req control.FleetRemovedRequest) (control.FleetRemovedResult, error) {
	r := c.replica.Load()
	if r == nil || r.cluster != req.Cluster {
		return control.FleetRemovedResult{}, nil
	}
	st, err := r.node.Status(ctx)
	if err != nil {
		return control.FleetRemovedResult{}, c.toRPCError(err)
	}
	return control.FleetRemovedResult{Removed: st.CommittedMembership.Removed(raft.ID(req.Replica))}, nil
}
