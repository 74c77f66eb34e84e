package keeper

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/replica"
	"github.com/sesamemux/sesamemux/pkg/state"
)

// ReplicatedLog is the replicated log as the daemon uses it; *replica.Node is one.
type ReplicatedLog interface {
	Propose(ctx context.Context, command []byte) (any, error)
	ReadIndex(ctx context.Context) (uint64, error)
	Step(m raft.Message)
	Leadership() <-chan replica.Leadership
	Status(ctx context.Context) (replica.Status, error)
	TransferLeadership(ctx context.Context, to raft.ID) error
	AddLearner(ctx context.Context, id raft.ID, address string) error
	Promote(ctx context.Context, id raft.ID) error
	Remove(ctx context.Context, id raft.ID) error
}

// propose puts a command into the log and returns the result of applying it.
func (k *Keeper) propose(ctx context.Context, c state.Command) (state.Result, error) {
	c.At = k.wallTime()
	data, err := state.Encode(c)
	if err != nil {
		return state.Result{}, err
	}
	applied, err := k.log.Propose(ctx, data)
	if err != nil {
		return state.Result{}, err
	}
	r := applied.(state.Result)
	return r, r.Err
}
