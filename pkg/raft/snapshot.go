package raft

// SnapshotMeta identifies the last entry that a snapshot covers and holds the
// membership in force after that entry.
type SnapshotMeta struct {
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
}

// Snapshot is the complete replicated state after an entry.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}
