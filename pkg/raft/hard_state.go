package raft

// HardState must be synced before messages that depend on it are sent.
// Commit may lag.
type HardState struct {
	Term   uint64
	Vote   ID
	Commit uint64
}
