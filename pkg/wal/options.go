package wal

import (
	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// DefaultSegmentBytes is the size from which a new segment is begun.
const DefaultSegmentBytes = 4 << 20

// Options open a log.
type Options struct {
	FS        disk.FS
	Dir       string
	ClusterID string
	ReplicaID raft.ID
	// Create sets up an empty folder with the store ID and raft identity
	// below. Without it an empty folder is refused.
	Create       bool
	StoreID      uint64
	Identity     raft.Identity
	SegmentBytes int

	SyncEachEntry bool // sync after every entry instead of every batch
	Unsafe        Unsafe
}

// Unsafe switches protections off. Only proofs set it.
type Unsafe struct {
	NoSync           bool // answer before anything is synced
	IgnoreFailedSync bool // go on after a failed sync as if it had passed
}
