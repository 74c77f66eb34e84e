package keeper

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

// notLeader is the answer of a keeper that does not lead.
func notLeader(address string) error {
	return control.NewError(control.CodeNotLeader, "this keeper does not lead", control.NotLeader{Leader: address})
}

// translate turns an error of the replicated log into one of the interface.
func (k *Keeper) translate(err error) error {
	var other *replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case eris.As(err, &other):
		return notLeader(k.leaderAddress())
	case eris.Is(err, replica.ErrUnknownOutcome), eris.Is(err, context.DeadlineExceeded), eris.Is(err, context.Canceled):
		return control.NewError(control.CodeUnknown, "it may or may not have taken effect; ask again with the same change ID", nil)
	case eris.Is(err, replica.ErrStopped):
		return control.NewError(control.CodeUnavailable, "the keeper is stopping", nil)
	default:
		return err
	}
}

// statusTimeout bounds a question to this process's own replica.
const statusTimeout = 500 * time.Millisecond

// replicaStatus returns the state of this process's replica, empty when it has
// stopped.
func (k *Keeper) replicaStatus() replica.Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	st, err := k.log.Status(ctx)
	if err != nil {
		return replica.Status{}
	}
	return st
}

// leaderAddress returns the address of the leader, "" when none is known.
func (k *Keeper) leaderAddress() string {
	st := k.replicaStatus()
	if m, ok := st.Membership.Member(st.Leader); ok {
		return m.Address
	}
	return ""
}
