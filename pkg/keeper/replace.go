package keeper

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// promoteRetryInterval is the time between two attempts to promote a learner.
const promoteRetryInterval = 200 * time.Millisecond

// replaceKeeper replaces a lost replica by a new one, one membership change at a time: it adds the
// new one as a learner, removes the old one, and promotes the new one to a voter once it has
// caught up.
func (k *Keeper) replaceKeeper(ctx context.Context, req control.KeeperReplaceRequest) (control.KeeperStatus, error) {
	if _, ok := k.leadingTerm(); !ok {
		return control.KeeperStatus{}, notLeaderError(k.leaderAddress())
	}
	if req.New == 0 || req.New == req.Old {
		return control.KeeperStatus{}, control.NewError(control.CodeInvalid, "the ID of the new replica must not have been used before", nil)
	}
	added := raft.ID(req.New)
	if !k.isMember(added) {
		if err := k.log.AddLearner(ctx, added, req.Address); err != nil {
			return control.KeeperStatus{}, k.toRPCError(err)
		}
	}
	if k.isMember(raft.ID(req.Old)) {
		if err := k.log.Remove(ctx, raft.ID(req.Old)); err != nil {
			return control.KeeperStatus{}, k.toRPCError(err)
		}
	}
	if err := k.promoteWhenCaughtUp(ctx, added); err != nil {
		return control.KeeperStatus{}, k.toRPCError(err)
	}
	k.logger.Info("keeper replaced", "old", req.Old, "new", req.New, "address", req.Address)
	return k.keeperStatus(ctx, struct{}{})
}

// promoteWhenCaughtUp retries until the learner has caught up and is a voter.
func (k *Keeper) promoteWhenCaughtUp(ctx context.Context, id raft.ID) error {
	poll := time.NewTicker(promoteRetryInterval)
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
