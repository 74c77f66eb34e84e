package control

import (
	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// HostContact reports an upstream that a gate has heard from since its last answered sync.
// Announcement is set if its content has changed since then.
type HostContact struct {
	Host         view.HostName          `json:"host"`
	Incarnation  view.Incarnation       `json:"incarnation"`
	AgeMillis    int64                  `json:"age_ms"` // time since the upstream's last message
	Announcement *announce.Announcement `json:"announcement,omitempty"`
}

// OrderResult reports the delivery of one order.
type OrderResult struct {
	Host  view.HostName `json:"host"`
	Fence view.Epoch    `json:"fence"`
	Error string        `json:"error,omitempty"` // empty if the order was delivered
}

// GateSyncRequest renews a gate's lease and reports the view revision that the gate has in force.
// The gate counts the lease from the moment at which it sent the request.
type GateSyncRequest struct {
	Gate          view.Gate         `json:"gate"`
	InForce       view.Revision     `json:"in_force"` // 0: requests the whole view
	Leaving       bool              `json:"leaving,omitempty"`
	WaitMS        int64             `json:"wait_ms"` // longest time to wait for a newer view
	Contacts      []HostContact     `json:"heard,omitempty"`
	Unreachable   []UnreachableHost `json:"gone,omitempty"`
	Uses          []view.TargetUse  `json:"uses,omitempty"`
	OrderResults  []OrderResult     `json:"orders,omitempty"`
	SettledGroups []view.GroupID    `json:"settled,omitempty"` // draining groups without work on this gate
	TargetCounts  []TargetCount     `json:"counts,omitempty"`  // of the targets in the last reply's CountTargets
	Forwarded     bool              `json:"relayed,omitempty"` // forwarded by a keeper that does not lead
	Clock         timeline.HLC      `json:"clock,omitzero"`    // the sender's hybrid logical clock
}

// TargetCount is the number of requests on a target over all gates, as reported by the target's
// head.
type TargetCount struct {
	Target      view.TargetID    `json:"target"`
	Incarnation view.Incarnation `json:"incarnation"`
	Running     int              `json:"running"` // running and waiting
	AgeMillis   int64            `json:"age_ms"`  // time since the head's report
}

// UnreachableHost reports an upstream that refused or reset a gate's connections.
type UnreachableHost struct {
	Host        view.HostName    `json:"host"`
	Incarnation view.Incarnation `json:"incarnation"`
}

// GateSyncReply grants a lease and brings the gate's view up to date.
type GateSyncReply struct {
	LeaseMillis         int64           `json:"lease_ms"` // 0: no lease is granted
	Delta               *view.Delta     `json:"delta,omitempty"`
	Orders              []order.Order   `json:"orders,omitempty"`
	OrderTTLMS          int64           `json:"order_ttl_ms"`     // counted from when the request was sent
	ResendAnnouncements bool            `json:"resend,omitempty"` // send all announcements in full
	CountTargets        []view.TargetID `json:"count,omitempty"`  // targets whose counts the next request should report
	Leader              string          `json:"leader,omitempty"` // set by a keeper that forwarded the request
	Clock               timeline.HLC    `json:"clock,omitzero"`   // the sender's hybrid logical clock
}
