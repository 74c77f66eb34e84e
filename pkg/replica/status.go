package replica

import (
	"context"

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
