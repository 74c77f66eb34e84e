package replica

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
	"github.com/sesamemux/sesamemux/pkg/wal"
)

// Defaults of Config.
const (
	DefaultTickInterval  = 50 * time.Millisecond
	DefaultSnapshotEvery = 10_000 // entries
	DefaultSnapshotBytes = 32 << 20
)

// Peer is a replica of the first membership.
type Peer struct {
	ID      raft.ID
	Address string // host:port
}

// Config starts a Node.
type Config struct {
	ID        raft.ID
	ClusterID string
	Address   string // this replica's; taken from Members when empty
	Members   []Peer // the first membership, used with Bootstrap on an empty folder

	// Bootstrap allows a first start on an empty folder as one of Members.
	// The replica takes part once all of them were up together, so that a
	// replica that lost its disk and bootstraps again is refused.
	Bootstrap bool
	// Join allows a first start on an empty folder as a learner-to-be under a
	// new ID.
	Join bool

	Dir       string
	FS        disk.FS // nil: the host's
	Transport Transport
	Applier   Applier

	TickInterval   time.Duration // default 50 ms
	ElectionTicks  int           // default 8; a follower waits 1 to 2 times this
	HeartbeatTicks int           // default 2
	SnapshotEvery  uint64        // entries between snapshots; default 10,000
	SnapshotBytes  int           // of commands between snapshots; default 32 MiB
	KeepEntries    uint64        // kept behind a snapshot for slow followers; default 1,000
	SegmentBytes   int           // of the log; default 4 MiB
	SyncEachEntry  bool          // one sync per entry; for comparison
	Seed           uint64        // of election timeouts; 0: random
	Logger         *log.Logger   // nil: silent

	Unsafe Unsafe
}

// Unsafe switches protections off. Only proofs set it.
type Unsafe struct {
	Raft raft.Unsafe
	Log  wal.Unsafe
}

func (c *Config) setDefaults() {
	if c.FS == nil {
		c.FS = disk.OS{}
	}
	if c.TickInterval == 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.Logger == nil {
		c.Logger = log.New(io.Discard)
	}
	for _, p := range c.Members {
		if c.Address == "" && p.ID == c.ID {
			c.Address = p.Address
		}
	}
}

func (c *Config) check() error {
	switch {
	case c.ID == 0:
		return eris.Wrap(ErrInvalidConfig, "replica ID is 0")
	case c.ClusterID == "":
		return eris.Wrap(ErrInvalidConfig, "cluster ID is empty")
	case c.Transport == nil || c.Applier == nil:
		return eris.Wrap(ErrInvalidConfig, "transport or applier is missing")
	case c.Bootstrap && c.Join:
		return eris.Wrap(ErrInvalidConfig, "bootstrap and join exclude each other")
	}
	return nil
}

func (c *Config) initialMembers() []raft.Member {
	if !c.Bootstrap {
		return nil
	}
	ms := make([]raft.Member, 0, len(c.Members))
	for _, p := range c.Members {
		ms = append(ms, raft.Member{ID: p.ID, Address: p.Address})
	}
	return ms
}
