package keeper

import (
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Events takes what belongs on the time line.
type Events interface {
	Leading(term uint64)
	Change(kind, id string, out state.ChangeOutcome)
	GateJoined(g view.Gate, revision view.Revision)
	GateGone(s membership.Session)
	Barrier(r view.Revision)
	HostSeen(h view.Host)
	HostLost(name view.HostName, inc view.Incarnation)
	OrderIssued(o order.Order, via view.GateName)
	GroupChanged(g view.Group, r view.Revision)
}
