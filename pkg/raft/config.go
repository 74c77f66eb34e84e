package raft

import "math/rand/v2"

// Default settings of a core.
const (
	DefaultElectionTicks   = 8
	DefaultHeartbeatTicks  = 2
	DefaultBatchBytes      = 1 << 20
	DefaultMaxInflight     = 32 // append messages in flight to one follower
	DefaultChunkBytes      = 256 << 10
	DefaultTrailingEntries = 1000 // entries kept behind a snapshot, for slow followers
	DefaultTrailingBytes   = 8 << 20
)

// Config holds the settings of a core and the state read from its directory.
type Config struct {
	ID          ID
	Store       uint64
	Incarnation uint64 // 1 on the first start in this directory
	Nonce       uint64 // differs at each start, also in a copied directory

	Identity   Identity
	HardState  HardState
	Snapshot   Snapshot
	Entries    []Entry // in order, from Snapshot.Meta.Index+1
	Watermarks []Watermark

	ElectionTicks   int // a follower waits 1 to 2 times as long for a leader
	HeartbeatTicks  int
	BatchBytes      int
	MaxInflight     int
	ChunkBytes      int
	TrailingEntries uint64
	TrailingBytes   int

	Rand   *rand.Rand
	Unsafe Unsafe
}

// Unsafe disables protections. Only fault tests set it, to show that they detect
// the violation that each protection prevents.
type Unsafe struct {
	ReadsWithoutRound bool // serve reads without confirming leadership
	NoIdentityCheck   bool // take part without a handshake, and accept any store
	NoPreVote         bool
	NoCheckQuorum     bool // leaders stay without a quorum, and followers grant votes while a leader is active
}

func (c *Config) setDefaults() {
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.BatchBytes, DefaultBatchBytes)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.ChunkBytes, DefaultChunkBytes)
	setDefault(&c.TrailingEntries, DefaultTrailingEntries)
	setDefault(&c.TrailingBytes, DefaultTrailingBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
