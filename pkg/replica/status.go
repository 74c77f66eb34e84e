package replica

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

// Status is the state of a replica, for monitoring.
type Status struct {
	raft.Status
	Applied uint64 // index of the last applied entry
}

// Status returns the current state.
func (n *Node) Status(ctx context.Context) (Status, error) {
	result := make(chan Status, 1)
	err := n.runInCore(ctx, func() {
		result <- Status{Status: n.core.Status(), Applied: n.applied.get()}
	})
	if err != nil {
		return Status{}, err
	}
	return <-result, nil
}

// Stalled returns for how long the replica has handled no event. It exceeds the tick interval if the
// disk does not answer or the process is short of processor.
func (n *Node) Stalled() time.Duration {
	return time.Since(n.openedAt) - time.Duration(n.turnedAt.Load())
}
