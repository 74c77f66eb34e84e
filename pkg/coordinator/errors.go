package coordinator

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

var (
	// ErrInvalid says that a change can't be put in force as it is.
	ErrInvalid = eris.New("invalid change")
	// ErrUnavailable says that no leader can be asked, or that the outcome is
	// not known: the caller asks again.
	ErrUnavailable = eris.New("no quorum can be reached")
)

func notLeader(address string) error {
	return control.NewError(control.CodeNotLeader, "this coordinator does not lead", control.NotLeader{Leader: address})
}

// translate turns an error of the replicated log into one for other processes.
func (c *Coordinator) translate(err error) error {
	var other *replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case eris.As(err, &other):
		return notLeader(c.leaderPeer())
	case eris.Is(err, context.DeadlineExceeded), eris.Is(err, context.Canceled),
		eris.Is(err, replica.ErrUnknownOutcome), eris.Is(err, replica.ErrStopped):
		return &jsonrpc2.Error{Code: control.CodeUnavailable, Message: err.Error()}
	}
	return err
}
