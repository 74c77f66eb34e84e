package control

import (
	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// HostContact is one upstream that a gate heard from since its last sync that was
// answered. Announcement is set when its content changed since then.
type HostContact struct {
	Host         view.HostName          `json:"host"`
	Incarnation  view.Incarnation       `json:"incarnation"`
	AgeMillis    int64                  `json:"age_ms"` // since it was heard
	Announcement *announce.Announcement `json:"announcement,omitempty"`
}

// OrderResult tells how the delivery of one order ended.
type OrderResult struct {
	Host  view.HostName `json:"host"`
	Fence view.Epoch    `json:"fence"`
	Error string        `json:"error,omitempty"`
}

// GateSyncRequest renews a gate's lease and tells what the gate has in force. The
// gate counts its lease from the moment that it sent the request.
type GateSyncRequest struct {
	Gate          view.Gate         `json:"gate"`
	InForce       view.Revision     `json:"in_force"` // 0: send the whole view
	Leaving       bool              `json:"leaving,omitempty"`
	WaitMS        int64             `json:"wait_ms"` // how long to wait for a newer view, at most
	Contacts      []HostContact     `json:"heard,omitempty"`
	Unreachable   []UnreachableHost `json:"gone,omitempty"`
	Uses          []view.TargetUse  `json:"uses,omitempty"`
	OrderResults  []OrderResult     `json:"orders,omitempty"`
	SettledGroups []view.GroupID    `json:"settled,omitempty"` // draining groups without work here
	TargetCounts  []TargetCount     `json:"counts,omitempty"`  // of the targets that the last reply asked for
	Forwarded     bool              `json:"relayed,omitempty"` // passed on by a keeper that does not lead
	Clock         timeline.HLC      `json:"clock,omitzero"`    // of the sender's time line
}

// TargetCount is a target's own count of the work on it, over all gates, as its
// head reported it.
type TargetCount struct {
	Target      view.TargetID    `json:"target"`
	Incarnation view.Incarnation `json:"incarnation"`
	Running     int              `json:"running"` // running and waiting
	AgeMillis   int64            `json:"age_ms"`
}

// UnreachableHost is an upstream that refused or reset connections, seen by a gate.
type UnreachableHost struct {
	Host        view.HostName    `json:"host"`
	Incarnation view.Incarnation `json:"incarnation"`
}

// GateSyncReply grants the lease and brings the view up to date.
type GateSyncReply struct {
	LeaseMillis         int64           `json:"lease_ms"` // 0: no lease, only the view
	Delta               *view.Delta     `json:"delta,omitempty"`
	Orders              []order.Order   `json:"orders,omitempty"`
	OrderTTLMS          int64           `json:"order_ttl_ms"`     // counted from the sending of the request
	ResendAnnouncements bool            `json:"resend,omitempty"` // send all announcements in full
	CountTargets        []view.TargetID `json:"count,omitempty"`  // targets whose own counts are wanted
	Leader              string          `json:"leader,omitempty"` // set by a keeper that passed the request on
	Clock               timeline.HLC    `json:"clock,omitzero"`   // of the sender's time line
}
