package keeper

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// TimelineEvents records a keeper's events on the time line.
type TimelineEvents struct {
	Recorder *timeline.Recorder
}

// LeaderElected implements Events.
func (t TimelineEvents) LeaderElected(term uint64) {
	t.Recorder.Record(timeline.Event{Kind: timeline.LeaderElected, Text: fmt.Sprintf("term %d", term)})
}

// OperatorChange implements Events.
func (t TimelineEvents) OperatorChange(kind, id string, out state.ChangeOutcome) {
	k := timeline.ChangeRefused
	if out.Status == state.ChangeAccepted || out.Status == state.ChangeResent {
		k = timeline.ChangeAccepted
	}
	t.Recorder.Record(timeline.Event{
		Kind:     k,
		Change:   id,
		Revision: uint64(out.ViewRevision),
		Text:     fmt.Sprintf("%s %s %s", kind, out.Status, out.Message),
	})
}

// GateJoined implements Events.
func (t TimelineEvents) GateJoined(g view.Gate, r view.Revision) {
	t.Recorder.Record(timeline.Event{Kind: timeline.LeaseGranted, Host: string(g.Name), Revision: uint64(r)})
}

// GateLeft implements Events.
func (t TimelineEvents) GateLeft(s membership.Session) {
	t.Recorder.Record(timeline.Event{Kind: timeline.LeaseLapsed, Host: string(s.Gate)})
}

// BarrierAdvanced implements Events.
func (t TimelineEvents) BarrierAdvanced(r view.Revision) {
	t.Recorder.Record(timeline.Event{Kind: timeline.ChangeInForce, Revision: uint64(r)})
}

// HostSeen implements Events.
func (t TimelineEvents) HostSeen(h view.Host) {
	t.Recorder.Record(timeline.Event{Kind: timeline.UpstreamHeard, Host: string(h.Name), Domain: h.FailureDomain, Text: h.Address})
}

// HostLost implements Events.
func (t TimelineEvents) HostLost(name view.HostName, inc view.Incarnation) {
	t.Recorder.Record(timeline.Event{Kind: timeline.UpstreamGone, Host: string(name), Text: fmt.Sprintf("incarnation %d", inc)})
}

// OrderIssued implements Events.
func (t TimelineEvents) OrderIssued(o order.Order, via view.GateName) {
	t.Recorder.Record(timeline.Event{
		Kind:  timeline.OrderSent,
		Host:  string(o.Host),
		Group: string(o.Group),
		Text:  fmt.Sprintf("%s fence %d rank %d load %v via %s", o.Kind, o.Fence, o.Rank, o.LoadAllowed, via),
	})
}

// GroupChanged implements Events.
func (t TimelineEvents) GroupChanged(g view.Group, r view.Revision) {
	t.Recorder.Record(timeline.Event{
		Kind:     timeline.GroupState,
		Group:    string(g.ID),
		Domain:   g.FabricDomain,
		Revision: uint64(r),
		Text:     fmt.Sprintf("%s epoch %d version %s", g.State, g.Epoch, g.Version),
	})
}
