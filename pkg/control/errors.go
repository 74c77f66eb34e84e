package control

// Error codes of the JSON-RPC interface, in the range for applications.
const (
	CodeNotLeader   = -32001 // Data: NotLeader
	CodeConflict    = -32002 // Data: Conflict
	CodeInvalid     = -32003 // Data: []object.Problem or none
	CodeUnavailable = -32004 // no quorum; nothing was changed
	CodeUnknown     = -32005 // it may or may not have taken effect; ask again with the same change ID
	CodeNotFound    = -32006
	CodeDenied      = -32007 // the caller has no right to it
)

// NotLeader tells where the leader is, as far as known.
type NotLeader struct {
	Leader string `json:"leader,omitempty"` // host:port
}

// Conflict tells that a change's base revision is not the current one.
type Conflict struct {
	Base    uint64 `json:"base"`
	Current uint64 `json:"current"`
}
