package raft

// HardState is the state that must be synced before messages that depend on it are
// sent. Commit may lag behind.
type HardState struct {
	Term   uint64
	Vote   ID
	Commit uint64
}
