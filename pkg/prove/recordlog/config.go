package recordlog

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/once"
)

// Config configures a quorum.
type Config struct {
	Set           object.Set
	Options       once.Options
	Delay         time.Duration // one-way delay of messages between replicas
	Dir           string        // folder on the host's disk; "" for in-memory disks
	SyncEachEntry bool          // no group commit; for comparison
	SnapshotEvery uint64        // in entries; 0 for the default of package replica
	Seed          uint64        // for election timeouts and torn writes
}
