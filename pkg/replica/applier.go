package replica

// Applier is the replicated state machine. Its methods are called by one goroutine and must be
// deterministic.
type Applier interface {
	// Apply executes one committed command and returns its result, which Propose returns if the
	// command was proposed at this replica.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}
