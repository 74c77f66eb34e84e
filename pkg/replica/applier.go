package replica

// Applier is the replicated state. Its methods are called by one goroutine
// and must be deterministic.
type Applier interface {
	// Apply carries out one committed command and returns its result, which
	// goes to the proposer if that is this replica.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}
