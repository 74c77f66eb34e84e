package order

import "github.com/sesamemux/sesamemux/pkg/view"

// Path is the HTTP path at which engines accept orders.
const Path = "/v1/order"

// Kind is the action that an order requests.
type Kind string

// The kinds of orders.
const (
	KindServe   Kind = "serve"   // load the version and serve as a member of the group
	KindRelease Kind = "release" // release the role and free its memory
)

// Order asks one host to change the role that it runs. Orders are idempotent.
type Order struct {
	Host         view.HostName    `json:"host"`
	Incarnation  view.Incarnation `json:"incarnation"`
	Address      string           `json:"address"`
	Kind         Kind             `json:"kind"`
	Fence        view.Epoch       `json:"fence"`
	Group        view.GroupID     `json:"group,omitempty"`
	Version      string           `json:"version,omitempty"`
	WeightsBytes int64            `json:"weights_bytes,omitempty"`
	Adapters     []string         `json:"adapters,omitempty"`
	Rank         int              `json:"rank"`
	Peers        []string         `json:"peers,omitempty"` // member addresses, indexed by rank
	// LoadAllowed is false while the weights store's schedule defers this load: the
	// member takes its role but does not fetch weights yet.
	LoadAllowed bool `json:"load_allowed"`
}
