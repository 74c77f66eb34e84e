package coordinator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

const (
	// leaveRetryInterval is the pause between two tries of a stopping coordinator to reach the leader.
	leaveRetryInterval = 50 * time.Millisecond
	// stoppingTTL is how long a replica counts as stopping. After that its silence tells.
	stoppingTTL = voterTimeout
)

// leaveQuorum tells the leader before a clean stop that this replica is about to go, and waits until a
// replacement that is ready has its place.
func (c *Coordinator) leaveQuorum(node *replica.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for {
		st, err := node.Status(ctx)
		if err != nil {
			c.cfg.Logger.Info("stopping without a replacement in the quorum", "cause", err)
			return
		}
		if !st.Membership.IsVoter(st.ID) || len(st.Membership.Members) == 1 {
			return
		}
		c.noteLeader(st)
		err = ErrUnavailable
		if st.Role != raft.Leader && st.Leader != 0 {
			var none struct{}
			err = c.caller.CallAt(ctx, c.leaderAddress(), control.MethodFleetLeave, control.FleetLeaveRequest{Replica: uint64(st.ID)}, &none)
		}
		if err == nil {
			return
		}
		if ctx.Err() != nil || hasCode(err, jsonrpc2.CodeMethodNotFound) {
			c.cfg.Logger.Info("stopping without a replacement in the quorum", "replica", st.ID, "leader", c.leaderAddress(), "cause", err)
			return
		}
		clock.Sleep(ctx, leaveRetryInterval)
	}
}

// handleLeave replaces a voter that stops, if a learner is ready.
func (c *Coordinator) handleLeave(ctx context.Context, req control.FleetLeaveRequest) (struct{}, error) {
	r := c.replica.Load()
	c.mu.Lock()
	l := c.leading()
	if l == nil || r == nil {
		c.mu.Unlock()
		return struct{}{}, notLeader(c.leaderAddress())
	}
	l.stopping[raft.ID(req.Replica)] = c.now()
	c.mu.Unlock()
	return struct{}{}, c.toRPCError(eris.Wrap(c.maintainQuorumOnce(ctx, r.node), "replace a stopping replica"))
}

// toldBy returns what the coordinator of a replica has told: its failure domain, empty if unknown, and
// whether it stops.
func (l *leadership) toldBy(now time.Duration, m raft.Member) (zone string, stopping bool) {
	if p := l.processes[m.Address]; p != nil {
		zone = p.request.Zone
	}
	at, told := l.stopping[m.ID]
	return zone, told && now-at <= stoppingTTL
}
