package control

import (
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/state"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// noEvents discards the events of keepers and gates.
type noEvents struct{}

func (noEvents) LeaderElected(uint64)                               {}
func (noEvents) OperatorChange(string, string, state.ChangeOutcome) {}
func (noEvents) GateJoined(view.Gate, view.Revision)                {}
func (noEvents) GateLeft(membership.Session)                        {}
func (noEvents) BarrierAdvanced(view.Revision)                      {}
func (noEvents) HostSeen(view.Host)                                 {}
func (noEvents) HostLost(view.HostName, view.Incarnation)           {}
func (noEvents) OrderIssued(order.Order, view.GateName)             {}
func (noEvents) GroupChanged(view.Group, view.Revision)             {}
func (noEvents) ViewInstalled(view.Revision)                        {}
func (noEvents) LeaseChanged(bool, view.Revision)                   {}
func (noEvents) OrderDelivered(order.Order, error)                  {}
func (noEvents) Announced(view.Host)                                {}
