package group

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Orders returns the orders that are due, by host: one for each host whose reports differ from
// what it should run. Only the leader may deliver them, and only while its lease is confirmed.
func (m *Machine) Orders(now view.Time) []order.Order {
	names := make([]view.HostName, 0, len(m.ordersDue))
	for name := range m.ordersDue {
		names = append(names, name)
	}
	slices.Sort(names)
	var orders []order.Order
	for _, name := range names {
		h := m.ordersDue[name]
		if now >= h.OrderNotBefore && m.barrierReached(h.RoleBarrier) {
			orders = append(orders, m.order(h))
		}
	}
	return orders
}

// orderable reports whether an order may be sent to the host now.
func (m *Machine) orderable(h *host) bool {
	return h.Present && m.now >= h.OrderNotBefore && m.barrierReached(h.RoleBarrier)
}

// order returns the order that assigns a host its role.
func (m *Machine) order(h *host) order.Order {
	o := order.Order{
		Host:        h.Info.Name,
		Incarnation: h.Info.Incarnation,
		Address:     h.Info.Address,
		Kind:        order.KindRelease,
		Fence:       h.Role.Epoch,
	}
	if h.cold() {
		return o
	}
	o.Kind = order.KindServe
	o.Group = h.Role.Group
	o.Version = h.Role.Version
	o.WeightsBytes = h.Role.Weights
	o.Adapters = h.Role.Adapters
	o.Rank = h.Role.Rank
	o.LoadAllowed = h.Load.allowed()
	if g := m.groups[h.Role.Group]; g != nil {
		o.Peers = g.peers(h.Role.Epoch)
	}
	return o
}

// peers returns the addresses of the members at an epoch, by rank.
func (g *group) peers(epoch view.Epoch) []string {
	peers := make([]string, len(g.Ranks))
	for rank, s := range g.Ranks {
		peers[rank] = s.Address
		if epoch == g.PreparedEpoch && s.PreparedHost != "" {
			peers[rank] = s.PreparedAddress
		}
	}
	return peers
}
