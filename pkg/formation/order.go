package formation

import "github.com/sesamemux/sesamemux/pkg/fleet"

// OrderKind is what a host is told to do.
type OrderKind string

const (
	Join  OrderKind = "join"  // become a member of a group
	Open  OrderKind = "open"  // the head begins to serve
	Leave OrderKind = "leave" // end the membership at once
	Stage OrderKind = "stage" // copy a model's weights to the host
)

// Order is one instruction to one host.
type Order struct {
	ID      uint64 // of this planner; tells orders to one host apart
	Kind    OrderKind
	Host    fleet.Upstream // as it was known when the order was given
	Group   string
	Epoch   int64
	Model   string
	Members []string // IDs, the head first; of a join
	Reason  string
}

// OrderResult is how an order ended.
type OrderResult uint8

const (
	// Accepted says that the host accepted the order or that its state already holds.
	Accepted OrderResult = iota
	// Rejected says that the host refused the order; it has no effect.
	Rejected
	// Unknown says that no answer came: the order may take effect later.
	Unknown
)
