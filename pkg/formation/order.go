package formation

import "github.com/sesamemux/sesamemux/pkg/fleet"

// OrderKind is what an order tells a host to do.
type OrderKind string

const (
	Join  OrderKind = "join"  // become a member of a group
	Open  OrderKind = "open"  // start serving, for the head of a group
	Leave OrderKind = "leave" // end the membership immediately
	Stage OrderKind = "stage" // copy a model's weights to the host
)

// Order is an instruction to one host.
type Order struct {
	ID      uint64 // unique within a planner
	Kind    OrderKind
	Host    fleet.Upstream // the host's record when the order was given
	Group   string
	Epoch   int64
	Model   string
	Members []string // IDs of the group's members, the head first; joins only
	// OnlyIfFree is set for a join of a host that an earlier join may still put into another group.
	// The host must refuse it unless it is in no other group when it receives it.
	OnlyIfFree bool
	Reason     string
}

// OrderResult is how an order ended.
type OrderResult uint8

const (
	// Accepted means that the host accepted the order, or was already in the requested state.
	Accepted OrderResult = iota
	// Rejected means that the host refused the order, which has no effect.
	Rejected
	// Unknown means that no answer was received; the order may still take effect.
	Unknown
	// Deferred means that the host was not known to be free, so that the order was not sent, or was refused
	// by the host for that reason. It has no effect and may be given again.
	Deferred
)
