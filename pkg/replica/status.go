package replica

import (
	"context"

	"github.com/sesamemux/sesamemux/pkg/raft"
)

// Status is a replica's state for display.
type Status struct {
	raft.Status
	Applied uint64 // index
}

// Status returns the state now.
func (n *Node) Status(ctx context.Context) (Status, error) {
	result := make(chan Status, 1)
	err := n.do(ctx, func() {
		result <- Status{Status: n.core.Status(), Applied: n.applied.get()}
	})
	if err != nil {
		return Status{}, err
	}
	return <-result, nil
}
