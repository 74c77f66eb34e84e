package keeper

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
)

// status gives the whole state in short.
func (k *Keeper) status(ctx context.Context, _ struct{}) (control.Status, error) {
	t, ok := k.leading()
	if !ok {
		return control.Status{}, notLeader(k.leaderAddress())
	}
	out := control.Status{Leader: k.leaderAddress(), Keepers: k.members()}
	err := k.read(ctx, func(s *state.State) error {
		s.FillStatus(&out)
		return nil
	})
	if err != nil {
		return out, err
	}
	t.describeGates(&out)
	return out, nil
}

// describeGates adds what the leader knows of each gate's lease.
func (t *term) describeGates(out *control.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.keeper.clock.Now()
	out.Barrier = t.barrier(now, out.ViewRevision)
	for i := range out.Gates {
		g := &out.Gates[i]
		s := membership.Session{Gate: g.Gate.Name, Incarnation: g.Gate.Incarnation}
		inForce, left, _ := t.leases.State(now, s)
		g.InForce = inForce
		g.LeaseLeftMS = left.Milliseconds()
	}
}

// members lists the replicas of the quorum.
func (k *Keeper) members() []control.Member {
	var out []control.Member
	for _, m := range k.replicaStatus().Membership.Members {
		out = append(out, control.Member{ID: uint64(m.ID), Address: m.Address, Learner: m.Learner})
	}
	return out
}

// keeperStatus tells this replica's consensus state.
func (k *Keeper) keeperStatus(context.Context, struct{}) (control.KeeperStatus, error) {
	st := k.replicaStatus()
	out := control.KeeperStatus{
		ID:            uint64(st.ID),
		Role:          string(st.Role),
		Leader:        uint64(st.Leader),
		Term:          st.Term,
		CommitIndex:   st.Committed,
		AppliedIndex:  st.Applied,
		LastIndex:     st.Last,
		SnapshotIndex: st.Snapshot,
		Members:       k.members(),
	}
	for _, m := range out.Members {
		if m.ID == out.ID {
			out.Address = m.Address
		}
	}
	return out, nil
}
