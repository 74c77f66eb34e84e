package group

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Orders gives the orders that are due: one for each host that reports other
// than what it should run, by host. Only the leader may deliver them, and only
// while its lease is confirmed.
func (m *Machine) Orders(now view.Time) []order.Order {
	names := make([]view.HostName, 0, len(m.unsettled))
	for name := range m.unsettled {
		names = append(names, name)
	}
	slices.Sort(names)
	var orders []order.Order
	for _, name := range names {
		h := m.unsettled[name]
		if now >= h.NotBefore && m.passed(h.Guard) {
			orders = append(orders, m.order(h))
		}
	}
	return orders
}

// orderable tells whether an order to the host may be given now.
func (m *Machine) orderable(h *host) bool {
	return h.Present && m.now >= h.NotBefore && m.passed(h.Guard)
}

// order gives the order that tells a host its role.
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

// peers gives the addresses of the members at an epoch, by rank.
func (g *group) peers(epoch view.Epoch) []string {
	peers := make([]string, len(g.Seats))
	for rank, s := range g.Seats {
		peers[rank] = s.Address
		if epoch == g.NextEpoch && s.Next != "" {
			peers[rank] = s.NextAddress
		}
	}
	return peers
}
