package raft

import "math/rand/v2"

// Default limits.
const (
	DefaultElectionTicks   = 8
	DefaultHeartbeatTicks  = 2
	DefaultBatchBytes      = 1 << 20
	DefaultMaxInflight     = 32 // appends to one follower
	DefaultChunkBytes      = 256 << 10
	DefaultTrailingEntries = 1000 // behind a snapshot, for slow followers
	DefaultTrailingBytes   = 8 << 20
)

// Config starts a core from what its folder holds.
type Config struct {
	ID          ID
	Store       uint64
	Incarnation uint64 // 1 on the first start on this folder
	Nonce       uint64 // differs at each start, also on a copied folder

	Identity   Identity
	HardState  HardState
	Snapshot   Snapshot
	Entries    []Entry // in order, from Snapshot.Meta.Index+1
	Watermarks []Watermark

	ElectionTicks   int // a follower waits 1 to 2 times this for a leader
	HeartbeatTicks  int
	BatchBytes      int
	MaxInflight     int
	ChunkBytes      int
	TrailingEntries uint64
	TrailingBytes   int

	Rand   *rand.Rand
	Unsafe Unsafe
}

// Unsafe switches protections off. Only proofs set it, to show that they see
// the fault.
type Unsafe struct {
	ReadsWithoutRound bool // serve reads without confirming leadership
	NoIdentityCheck   bool // take part without hello, from any store
	NoPreVote         bool
	NoCheckQuorum     bool // leaders stay without a majority; followers hold no lease
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
