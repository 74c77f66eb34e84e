package raft

// SnapshotMeta names the last entry that a snapshot covers and the membership
// in force there.
type SnapshotMeta struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
}

// Snapshot is the whole replicated state after an entry.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}
