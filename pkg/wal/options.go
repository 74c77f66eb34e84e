package wal

import (
	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// DefaultSegmentBytes is the default size at which a new segment is started.
const DefaultSegmentBytes = 4 << 20

// Options holds the settings of Open.
type Options struct {
	FS        disk.FS
	Dir       string
	ClusterID string
	ReplicaID raft.ID
	// Create initialises an empty directory with StoreID and Identity. Without it an empty
	// directory is refused.
	Create       bool
	StoreID      uint64
	Identity     raft.Identity
	SegmentBytes int

	SyncEachEntry bool // sync after each entry instead of each batch
	Unsafe        Unsafe
}

// Unsafe disables safety mechanisms. Only fault-injection tests set it, to show that they detect
// the violations that follow.
type Unsafe struct {
	NoSync           bool // return from Save without a sync
	IgnoreFailedSync bool // continue after a failed sync as if it had succeeded
}
