package control

// FleetLeaveRequest tells the leader that a coordinator stops, so that a replacement that is ready takes its
// place in the quorum without waiting for its silence.
type FleetLeaveRequest struct {
	Replica uint64 `json:"replica"`
}
