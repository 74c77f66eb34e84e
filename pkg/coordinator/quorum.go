package coordinator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// handleJoin adds a coordinator without a replica as a learner. A lost replica at the same address is
// removed. The work ends with the connection of the caller, which asks again by another one.
func (c *Coordinator) handleJoin(ctx context.Context, req control.FleetJoinRequest) (control.FleetJoinResult, error) {
	ctx, cancel := rpc.WithConnection(ctx)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, joinTimeout)
	defer cancelTimeout()
	r := c.replica.Load()
	if r == nil {
		return control.FleetJoinResult{}, c.joinReferral(replica.Status{})
	}
	st, err := r.node.Status(ctx)
	if err != nil {
		return control.FleetJoinResult{}, c.toRPCError(err)
	}
	if st.Role != raft.Leader {
		return control.FleetJoinResult{}, c.joinReferral(st)
	}
	unlock, err := c.joins.lock(ctx, req.Address)
	if err != nil {
		return control.FleetJoinResult{}, c.toRPCError(err)
	}
	defer unlock()
	// A change that a leader without a quorum has appended can't be taken back.
	if _, err := r.node.ReadIndex(ctx); err != nil {
		return control.FleetJoinResult{}, c.toRPCError(err)
	}
	if st, err = leaderStatus(ctx, r.node); err != nil {
		return control.FleetJoinResult{}, c.toRPCError(err)
	}
	if held, ok := st.Membership.Member(raft.ID(req.Holds)); ok && held.Address == req.Address && req.Cluster == r.cluster {
		return c.confirmAssignment(ctx, r, held.ID)
	}
	for _, m := range st.Membership.Members {
		if m.Address != req.Address {
			continue
		}
		if err := c.removeLost(ctx, r.node, m); err != nil {
			return control.FleetJoinResult{}, err
		}
	}
	id, err := addLearner(ctx, r.node, req.Address)
	if err != nil {
		return control.FleetJoinResult{}, c.toRPCError(err)
	}
	c.cfg.Logger.Info("replica added", "replica", id, "address", req.Address)
	return c.confirmAssignment(ctx, r, id)
}

// maintainQuorum keeps the intended number of live voters: learners that hold the log replace
// missing or silent voters.
func (c *Coordinator) maintainQuorum(ctx context.Context) {
	tick := time.NewTicker(quorumCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r := c.replica.Load()
		if r == nil {
			continue
		}
		if err := c.maintainQuorumOnce(ctx, r.node); err != nil {
			c.cfg.Logger.Warn("failed to change the quorum membership", "cause", err)
		}
	}
}

// maintainQuorumOnce makes the membership changes that are due, one after the other: between the removal of a
// voter and the promotion of its replacement the quorum tolerates no loss.
func (c *Coordinator) maintainQuorumOnce(ctx context.Context, node *replica.Node) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	select {
	case c.quorumChange <- struct{}{}:
		defer func() { <-c.quorumChange }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for range maxSuccessiveChanges {
		changed, err := c.changeMembership(ctx, node)
		if err != nil || !changed {
			return err
		}
	}
	return nil
}

// changeMembership makes the next membership change if this replica leads. It reports whether it made one.
func (c *Coordinator) changeMembership(ctx context.Context, node *replica.Node) (bool, error) {
	st, err := node.Status(ctx)
	if err != nil || len(st.Membership.Members) == 0 {
		return false, nil // the replica is closing; the next check follows
	}
	c.replicaManager.setMembers(st.Membership)
	c.noteLeader(st)
	if st.Role != raft.Leader {
		return false, nil
	}
	members := c.memberStates(st.Status)
	c.observeMembers(members)
	d := nextMembershipChange(members, c.cfg.Voters)
	switch {
	case d.remove != 0:
		if err := node.Remove(ctx, d.remove); err != nil {
			return false, eris.Wrapf(err, "remove replica %d (%s)", d.remove, d.cause)
		}
		c.cfg.Logger.Info("replica removed", "replica", d.remove, "cause", d.cause, "silent_ms", silenceOf(members, d.remove).Milliseconds(), "members", memberNames(st.Membership))
	case d.promote != 0:
		if err := node.Promote(ctx, d.promote); err != nil {
			return false, eris.Wrapf(err, "promote replica %d (%s)", d.promote, d.cause)
		}
		c.cfg.Logger.Info("replica promoted", "replica", d.promote, "cause", d.cause, "members", memberNames(st.Membership))
	default:
		return false, nil
	}
	return true, nil
}
