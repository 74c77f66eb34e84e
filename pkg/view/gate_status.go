package view

// TargetUse is one gate's report of its work on one target.
type TargetUse struct {
	Target      TargetID
	Incarnation Incarnation
	InForce     Revision // revision of the gate's view when this was counted
	InFlight    int      // requests in flight on the target
	Queued      int      // queued requests that could run on the target
	Finished    uint64   // successful requests on this incarnation since the gate started
	Failed      uint64   // failed requests on this incarnation since the gate started
	// Suspect is set when a connection was reset or refused, or when the target
	// behaved as if just started.
	Suspect bool
}
