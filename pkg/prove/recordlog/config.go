package recordlog

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/once"
)

// Config starts a quorum.
type Config struct {
	Set           object.Set
	Options       once.Options
	Delay         time.Duration // of each message between replicas
	Dir           string        // folder on the host's disk; "" for disks in memory
	SyncEachEntry bool          // no group commit, for comparison
	SnapshotEvery uint64        // entries; 0 for the default of replica
	Seed          uint64        // of elections and torn writes
}
