package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// maxLeaderlessChecks is how many checks in succession a replica may hear no leader before it verifies its
// assignment. Checks are counted, as time also passes while the process stands still.
const maxLeaderlessChecks = int(2 * time.Second / quorumCheckInterval)

// checkAssignment watches whether this replica is still a member. A learner that was removed before the log
// reached it knows no other replica that could tell it; a voter may have been removed while all others were
// replaced. It returns the assignment that replaces the one held, zero if none is known, and false if the
// replica or ctx ended first.
func (m *replicaManager) checkAssignment(ctx context.Context, node *replica.Node, held replicaAssignment) (replicaAssignment, bool) {
	tick := time.NewTicker(quorumCheckInterval)
	defer tick.Stop()
	voter := false
	for leaderless := 0; ; {
		if st, err := node.Status(ctx); err == nil { // else the replica is closing
			state := replicaState(st)
			m.coordinator.metrics.setReplicaState(state)
			voter = state == control.ReplicaVoter
			if leaderless++; st.Leader != 0 {
				leaderless = 0
			}
		}
		if leaderless > maxLeaderlessChecks {
			leaderless = 0
			if next, gone := m.verifyAssignment(ctx, held, voter); gone {
				return next, true
			}
		}
		select {
		case <-ctx.Done():
			return replicaAssignment{}, false
		case <-node.Done():
			return replicaAssignment{}, false
		case <-tick.C:
		}
	}
}

// verifyAssignment asks others whether this replica is a member. If it is not, it returns true and the new
// assignment of a learner, zero for a voter.
func (m *replicaManager) verifyAssignment(ctx context.Context, held replicaAssignment, voter bool) (replicaAssignment, bool) {
	if voter {
		return replicaAssignment{}, m.wasRemoved(ctx, held)
	}
	m.coordinator.cfg.Logger.Warn("replica hears no leader; verifying its assignment", "replica", held.Replica)
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	result, err := newJoiner(m.coordinator, held).run(ctx)
	if err != nil {
		m.coordinator.cfg.Logger.Warn("replica assignment not verified", "replica", held.Replica, "cause", err)
		return replicaAssignment{}, false
	}
	next := replicaAssignment{Replica: raft.ID(result.Replica), Cluster: result.Cluster}
	return next, next.Replica != held.Replica || next.Cluster != held.Cluster
}

// wasRemoved reports whether any coordinator knows that this replica was removed. Unlike a join, which leaders
// of earlier versions take as the loss of the replica, the question changes nothing.
func (m *replicaManager) wasRemoved(ctx context.Context, held replicaAssignment) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var asking sync.WaitGroup
	var removed atomic.Bool
	var unanswered atomic.Int32
	addresses := m.coordinator.caller.Addresses()
	for _, address := range addresses {
		asking.Go(func() {
			var result control.FleetRemovedResult
			req := control.FleetRemovedRequest{Replica: uint64(held.Replica), Cluster: held.Cluster}
			if err := m.coordinator.caller.CallAt(ctx, address, control.MethodFleetRemoved, req, &result); err != nil {
				unanswered.Add(1)
			}
			if result.Removed {
				removed.Store(true)
				cancel()
			}
		})
	}
	asking.Wait()
	m.coordinator.cfg.Logger.Warn("voter hears no leader", "replica", held.Replica, "removed", removed.Load(), "asked", len(addresses), "unanswered", unanswered.Load())
	return removed.Load()
}
