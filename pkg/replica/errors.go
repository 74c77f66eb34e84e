package replica

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

var (
	// ErrUnknownOutcome means that a proposal was submitted but its commit was not observed. The
	// proposal may or may not take effect.
	ErrUnknownOutcome = eris.New("outcome of the proposal is unknown")
	// ErrStopped means that the replica has stopped.
	ErrStopped = eris.New("replica stopped")
	// ErrInvalidConfig means that a Config is incomplete or contradictory.
	ErrInvalidConfig = eris.New("invalid replica config")
	// ErrTransferFailed means that the target did not take over the leadership in time.
	ErrTransferFailed = eris.New("leadership transfer timed out")
	// ErrTooLarge means that a command is larger than MaxCommandBytes. Nothing was proposed.
	ErrTooLarge = eris.New("command is too large")
)

// NotLeaderError means that this replica does not lead or is transferring the leadership. Leader is
// the replica to ask, or 0 if none is known. Nothing was proposed.
type NotLeaderError struct {
	Leader raft.ID
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; leader is %d", e.Leader)
}

// RefusedError means that the cluster does not admit this replica.
type RefusedError struct {
	ID     raft.ID
	Reason raft.Refusal
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("replica %d is not admitted to the cluster: %s; remove it and add one with a new ID and an empty directory", e.ID, e.Reason)
}
