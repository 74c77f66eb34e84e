package coordinator

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/replica"
)

var (
	// ErrInvalid is returned if a change is not valid.
	ErrInvalid = eris.New("invalid change")
	// ErrUnavailable is returned if no leader can be reached or the outcome is unknown. The caller
	// should retry.
	ErrUnavailable = eris.New("quorum is not reachable")
)

func notLeader(address string) error {
	return control.NewError(control.CodeNotLeader, "this coordinator does not lead", control.NotLeader{Leader: address})
}

// toRPCError converts an error of the replicated log to an RPC error.
func (c *Coordinator) toRPCError(err error) error {
	var other *replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case eris.As(err, &other):
		return notLeader(c.leaderAddress())
	case eris.Is(err, context.DeadlineExceeded), eris.Is(err, context.Canceled),
		eris.Is(err, replica.ErrUnknownOutcome), eris.Is(err, replica.ErrStopped), eris.Is(err, ErrUnavailable):
		return &jsonrpc2.Error{Code: control.CodeUnavailable, Message: err.Error()}
	}
	return err
}

// isNotLeader reports whether an error says that another coordinator leads.
func isNotLeader(err error) bool {
	return hasCode(err, control.CodeNotLeader)
}

// hasCode reports whether an error is one of a call with the given code.
func hasCode(err error, code int64) bool {
	var coded *jsonrpc2.Error
	return eris.As(err, &coded) && coded.Code == code
}
