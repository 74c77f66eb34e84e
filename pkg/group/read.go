package group

import (
	"maps"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// HostState is what the machine knows of an engine host.
type HostState struct {
	Host     view.Host
	Present  bool          // heard of
	Reported bool          // Status is of this presence
	Status   report.Status // last report
	Group    view.GroupID  // group that it is a member of or is prepared for, "" if free
	Spare    string        // model group whose weights it holds while it is free
	Epoch    view.Epoch    // fencing number of its role
	Rank     int
	OrderDue bool
	Damped   bool // gets no role for now, as it failed often
}

// Host tells of one engine host.
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
		OrderDue: h.Unsettled,
		Damped:   h.Faults.damped(m.now),
	}, true
}

// groupOf gives the group that a host belongs to, "" if it is free.
func (m *Machine) groupOf(h *host) view.GroupID {
	if h.free() {
		return ""
	}
	return h.Role.Group
}

// HostNames gives the names of all engine hosts, in order.
func (m *Machine) HostNames() []view.HostName {
	return slices.Sorted(maps.Keys(m.hosts))
}

// Group gives one group as gates see it.
func (m *Machine) Group(id view.GroupID) (view.Group, bool) {
	g := m.groups[id]
	if g == nil {
		return view.Group{}, false
	}
	return g.published(), true
}

// Groups gives all groups as gates see them, by ID.
func (m *Machine) Groups() []view.Group {
	groups := make([]view.Group, 0, len(m.groups))
	for _, id := range slices.Sorted(maps.Keys(m.groups)) {
		groups = append(groups, m.groups[id].published())
	}
	return groups
}
