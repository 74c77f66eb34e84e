package order

import "github.com/sesamemux/sesamemux/pkg/view"

// Path is where engines take orders.
const Path = "/v1/order"

// Kind is what an order asks for.
type Kind string

// The kinds of orders.
const (
	KindServe   Kind = "serve"   // load the version and act as a member
	KindRelease Kind = "release" // give up the role and its memory
)

// Order asks one host to change what it runs. Repeating an order that was
// carried out changes nothing.
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
	Peers        []string         `json:"peers,omitempty"` // addresses by rank
	// LoadAllowed is false while the store's schedule holds this load back:
	// the member takes its role and waits with fetching weights.
	LoadAllowed bool `json:"load_allowed"`
}
