package keeper

import (
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// EventSink takes what belongs on the time line.
type EventSink interface {
	LeaderElected(term uint64)
	OperatorChange(kind, id string, out state.ChangeOutcome)
	GateJoined(g view.Gate, revision view.Revision)
	GateLeft(s membership.Session)
	BarrierAdvanced(r view.Revision)
	HostSeen(h view.Host)
	HostLost(name view.HostName, inc view.Incarnation)
	OrderIssued(o order.Order, via view.GateName)
	GroupChanged(g view.Group, r view.Revision)
}
