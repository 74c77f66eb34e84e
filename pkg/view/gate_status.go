package view

// TargetUse is what one gate tells of its work on one target.
type TargetUse struct {
	Target      TargetID
	Incarnation Incarnation
	InForce     Revision // of the gate's view when this was counted
	InFlight    int      // requests on the target now
	Queued      int      // requests that wait and could run there
	Finished    uint64   // requests finished well on this incarnation since the gate started
	Failed      uint64   // requests that broke on this incarnation since the gate started
	// Suspect tells that a connection was reset or refused, or that the
	// target behaved as if freshly started.
	Suspect bool
}
