package view

// TargetUse is what one gate tells of its work on one target.
type TargetUse struct {
	Target      TargetID
	Incarnation Incarnation
	InFlight    int    // requests on the target now
	Queued      int    // requests that wait and could run there
	Finished    uint64 // requests finished well since the gate started
	Failed      uint64 // requests that broke on the target since the gate started
	// Suspect tells that a connection was reset or refused, or that the
	// target behaved as if freshly started.
	Suspect bool
}
