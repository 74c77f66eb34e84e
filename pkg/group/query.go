package group

import (
	"maps"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// HostState is the machine's state of an engine host.
type HostState struct {
	Host     view.Host
	Present  bool          // heard from
	Reported bool          // Status was reported after the host was last seen
	Status   report.Status // last report
	Group    view.GroupID  // group that it belongs to or is prepared for; "" if free
	Spare    string        // model group whose weights it holds as a free host
	Epoch    view.Epoch    // fencing number of its role
	Rank     int
	OrderDue bool
	Damped   bool // gets no role for now because it failed often
}

// Host returns the state of one engine host.
func (m *Machine) Host(name view.HostName) (HostState, bool) {
	h := m.hosts[name]
	if h == nil {
		return HostState{}, false
	}
	return HostState{
		Host:     h.Info,
		Present:  h.Present,
		Reported: h.Reported,
		Status:   h.Status,
		Group:    m.groupOf(h),
		Spare:    h.Role.Spare,
		Epoch:    h.Role.Epoch,
		Rank:     h.Role.Rank,
		OrderDue: h.OrderDue,
		Damped:   h.Faults.damped(m.now),
	}, true
}

// groupOf returns the group that a host belongs to, "" if it is free.
func (m *Machine) groupOf(h *host) view.GroupID {
	if h.free() {
		return ""
	}
	return h.Role.Group
}

// HostNames returns the names of all engine hosts in order.
func (m *Machine) HostNames() []view.HostName {
	return slices.Sorted(maps.Keys(m.hosts))
}

// Group returns one group as gates see it.
func (m *Machine) Group(id view.GroupID) (view.Group, bool) {
	g := m.groups[id]
	if g == nil {
		return view.Group{}, false
	}
	return g.published(), true
}

// Groups returns all groups as gates see them, by ID.
func (m *Machine) Groups() []view.Group {
	groups := make([]view.Group, 0, len(m.groups))
	for _, id := range slices.Sorted(maps.Keys(m.groups)) {
		groups = append(groups, m.groups[id].published())
	}
	return groups
}
