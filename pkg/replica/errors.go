package replica

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

var (
	// ErrUnknownOutcome says that a proposal was handed to the log but its
	// commit was not seen: it may or may not take effect.
	ErrUnknownOutcome = eris.New("outcome of the proposal is unknown")
	// ErrStopped says that the replica has stopped.
	ErrStopped = eris.New("replica stopped")
	// ErrInvalidConfig says that a Config can't be used.
	ErrInvalidConfig = eris.New("invalid replica config")
	// ErrTransferFailed says that the target didn't take the leadership in time.
	ErrTransferFailed = eris.New("leadership was not taken over")
	// ErrTooLarge says that a command is above MaxCommandBytes; nothing was
	// proposed.
	ErrTooLarge = eris.New("command is too large")
)

// NotLeaderError says that this replica can't serve the request and which one
// may; Leader is 0 when no leader is known. Nothing was proposed.
type NotLeaderError struct {
	Leader raft.ID
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; leader is %d", e.Leader)
}

// RefusedError says that the cluster doesn't let this replica take part.
type RefusedError struct {
	ID     raft.ID
	Reason raft.Refusal
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("replica %d may not take part: %s; remove it and add one with a new ID and an empty folder", e.ID, e.Reason)
}
