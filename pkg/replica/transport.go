package replica

import "github.com/sesamemux/sesamemux/pkg/raft"

// Transport carries messages to other replicas. It may lose, repeat and
// reorder them.
type Transport interface {
	// Send never blocks; it drops what it can't take.
	Send(to raft.ID, address string, m raft.Message)
}
