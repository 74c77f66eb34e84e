package keeper

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// notLeaderError returns the error with which a keeper that does not lead refuses a call.
func notLeaderError(address string) error {
	return control.NewError(control.CodeNotLeader, "this keeper is not the leader", control.NotLeader{Leader: address})
}

// toRPCError converts an error of the replicated log into an error of the JSON-RPC interface.
func (k *Keeper) toRPCError(err error) error {
	var other *replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case eris.As(err, &other):
		return notLeaderError(k.leaderAddress())
	case eris.Is(err, replica.ErrUnknownOutcome), eris.Is(err, context.DeadlineExceeded), eris.Is(err, context.Canceled):
		return control.NewError(control.CodeUnknown, "the call may or may not have taken effect; retry with the same change ID", nil)
	case eris.Is(err, replica.ErrStopped):
		return control.NewError(control.CodeUnavailable, "the keeper is stopping", nil)
	default:
		return err
	}
}

// statusTimeout limits a status query to this process's own replica.
const statusTimeout = 500 * time.Millisecond

// replicaStatus returns the status of this process's replica, empty if it does not answer.
func (k *Keeper) replicaStatus() replica.Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	st, err := k.log.Status(ctx)
	if err != nil {
		return replica.Status{}
	}
	return st
}

// leaderAddress returns the address of the leader, "" if none is known.
func (k *Keeper) leaderAddress() string {
	st := k.replicaStatus()
	if m, ok := st.Membership.Member(st.Leader); ok {
		return m.Address
	}
	return ""
}
