package sender

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// patience is how long senders wait for the answer to a request at most.
const patience = time.Second

// ErrGone means that the sender of a request no longer waits for the answer.
var ErrGone = eris.New("the sender of the request has left")

// State is what is known of the connection over which a request was received.
type State struct {
	Closed bool          // by either side
	Silent time.Duration // since data last arrived
}

type stateKey struct{}

// WithState returns a context for the requests of a connection whose state the function reads.
func WithState(ctx context.Context, read func() (State, error)) context.Context {
	return context.WithValue(ctx, stateKey{}, read)
}

// Check returns ErrGone if the sender of the request that ctx belongs to is not connected any more or sent
// the request too long ago to wait still. It is for connections that carry one request at a time.
func Check(ctx context.Context) error {
	s, err := state(ctx)
	if err == nil && s.Silent > patience {
		return eris.Wrap(ErrGone, "the request is old")
	}
	return err
}

// Connected returns ErrGone if the sender of the request that ctx belongs to is not connected any more.
func Connected(ctx context.Context) error {
	_, err := state(ctx)
	return err
}

// state returns the state of the connection, the zero State if only ctx tells of it.
func state(ctx context.Context) (State, error) {
	if err := ctx.Err(); err != nil {
		return State{}, eris.Wrap(ErrGone, err.Error())
	}
	read, ok := ctx.Value(stateKey{}).(func() (State, error))
	if !ok {
		return State{}, nil
	}
	s, err := read()
	switch {
	case err != nil:
		return s, eris.Wrap(ErrGone, err.Error())
	case s.Closed:
		return s, eris.Wrap(ErrGone, "connection closed")
	}
	return s, nil
}
