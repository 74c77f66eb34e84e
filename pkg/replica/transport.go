package replica

import "github.com/sesamemux/sesamemux/pkg/raft"

// Transport sends messages to other replicas. It may lose, duplicate and reorder them.
type Transport interface {
	// Send never blocks. It drops messages that it cannot queue.
	Send(to raft.ID, address string, m raft.Message)
}
