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

// Default values of Config.
const (
	DefaultTickInterval  = 50 * time.Millisecond
	DefaultSnapshotEvery = 10_000 // entries
	DefaultSnapshotBytes = 32 << 20
)

// Peer is a replica of the initial membership.
type Peer struct {
	ID      raft.ID
	Address string // host:port
}

// Config holds the settings of a Node.
type Config struct {
	ID        raft.ID
	ClusterID string
	Address   string // address of this replica; taken from Members if empty
	Members   []Peer // initial membership, used with Bootstrap on an empty directory

	// Bootstrap allows a first start on an empty directory as one of Members. The replica takes
	// part only once all Members have been up at the same time, so that a replica that lost its
	// disk and bootstraps again is refused.
	Bootstrap bool
	// Join allows a first start on an empty directory under a new ID, to be added as a learner.
	Join bool

	Dir       string
	FS        disk.FS // nil: the operating system's
	Transport Transport
	Applier   Applier

	TickInterval   time.Duration // default 50 ms
	ElectionTicks  int           // default 8; the election time-out is 1 to 2 times this
	HeartbeatTicks int           // default 2
	SnapshotEvery  uint64        // entries between snapshots; default 10,000
	SnapshotBytes  int           // size of commands between snapshots; default 32 MiB
	KeepEntries    uint64        // entries kept before a snapshot for slow followers; default 1,000
	SegmentBytes   int           // size of a log segment; default 4 MiB
	SyncEachEntry  bool          // sync each entry by itself; for benchmarks
	Seed           uint64        // seed of election time-outs; 0: random
	Logger         *log.Logger   // nil: no logging

	Unsafe Unsafe
}

// Unsafe disables safety mechanisms. Only fault-injection tests set it, to show that they detect
// the violations that follow.
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
