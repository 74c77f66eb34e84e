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
)

// NotLeaderError says that this replica can't serve the request and which one
// may; Leader is 0 when no leader is known. Nothing was proposed.
type NotLeaderError struct {
	Leader raft.ID
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; leader is %d", e.Leader)
}
