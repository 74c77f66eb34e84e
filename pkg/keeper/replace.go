package keeper

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// promotePoll is the time between two tries to promote a learner.
const promotePoll = 200 * time.Millisecond

// replaceKeeper puts a new replica in the place of a lost one, one membership
// change at a time: the new one joins as a learner, the old one leaves, the
// new one gets its vote once it has caught up.
func (k *Keeper) replaceKeeper(ctx context.Context, req control.KeeperReplaceRequest) (control.KeeperStatus, error) {
	if _, ok := k.leading(); !ok {
		return control.KeeperStatus{}, notLeader(k.leaderAddress())
	}
	if req.New == 0 || req.New == req.Old {
		return control.KeeperStatus{}, control.NewError(control.CodeInvalid, "the new replica needs an ID that was never used", nil)
	}
	added := raft.ID(req.New)
	if !k.isMember(added) {
		if err := k.log.AddLearner(ctx, added, req.Address); err != nil {
			return control.KeeperStatus{}, k.translate(err)
		}
	}
	if k.isMember(raft.ID(req.Old)) {
		if err := k.log.Remove(ctx, raft.ID(req.Old)); err != nil {
			return control.KeeperStatus{}, k.translate(err)
		}
	}
	if err := k.promote(ctx, added); err != nil {
		return control.KeeperStatus{}, k.translate(err)
	}
	k.logger.Info("keeper replaced", "old", req.Old, "new", req.New, "address", req.Address)
	return k.keeperStatus(ctx, struct{}{})
}

// promote tries until the learner has caught up and has its vote.
func (k *Keeper) promote(ctx context.Context, id raft.ID) error {
	poll := time.NewTicker(promotePoll)
	defer poll.Stop()
	for {
		err := k.log.Promote(ctx, id)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-poll.C:
		}
	}
}

func (k *Keeper) isMember(id raft.ID) bool {
	_, ok := k.replicaStatus().Membership.Member(id)
	return ok
}
