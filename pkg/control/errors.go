package control

// Error codes of the JSON-RPC interface, in the range reserved for applications.
const (
	CodeNotLeader   = -32001 // data: NotLeader
	CodeConflict    = -32002 // data: Conflict
	CodeInvalid     = -32003 // data: []object.Problem or none
	CodeUnavailable = -32004 // no quorum; nothing was changed
	CodeUnknown     = -32005 // the call may have taken effect; retry with the same change ID
	CodeNotFound    = -32006
	CodeDenied      = -32007 // the caller is not authorised
	// CodeReplicaInUse refuses a join at the address of a replica that replies.
	CodeReplicaInUse = -32008
)

// NotLeader is the data of a CodeNotLeader error.
type NotLeader struct {
	Leader string `json:"leader,omitempty"` // host:port of the leader; empty if unknown
	// Replica is the state of the replica of the process that answers, as a learner or voter that has one.
	// Only the answer to a join tells it.
	Replica ReplicaState `json:"replica,omitempty"`
	// Coordinators are the host:port of the coordinators that the process knows. Only the answer to a join
	// lists them.
	Coordinators []string `json:"peers,omitempty"`
}

// ReplicaState is what part a coordinator takes in the replicated log.
type ReplicaState string

// States of a coordinator's replica.
const (
	ReplicaNone    ReplicaState = "none"    // it is not open
	ReplicaJoining ReplicaState = "joining" // it waits for an assignment
	ReplicaLearner ReplicaState = "learner"
	ReplicaVoter   ReplicaState = "voter"
)

// Conflict is the data of a CodeConflict error: a change's base revision is not the current one.
type Conflict struct {
	Base    uint64 `json:"base"`
	Current uint64 `json:"current"`
}
