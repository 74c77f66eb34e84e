package group

import (
	"github.com/sesamemux/sesamemux/pkg/group/loadorder"
)

// scheduleLoads starts waiting loads while the weights store has free slots.
func (m *Machine) scheduleLoads() {
	if m.opts.LoadOrder == LoadConcurrent {
		m.startAllLoads()
		m.scheduleSpares()
		return
	}
	for len(m.waitingLoads) > 0 && len(m.loadingHosts) < m.opts.slots() {
		g := m.nextLoad()
		if g == nil {
			break
		}
		m.startGroupLoads(g)
	}
	m.scheduleSpares()
}

// startAllLoads starts the loads of all waiting members.
func (m *Machine) startAllLoads() {
	for id := range m.waitingLoads {
		g := m.groups[id]
		for rank := range g.Ranks {
			for _, h := range m.startableHosts(g, rank) {
				m.startLoad(h)
			}
		}
	}
}

// nextLoad returns the waiting group that loads next, or nil.
func (m *Machine) nextLoad() *group {
	var best *group
	var first loadorder.PendingLoad
	for id := range m.waitingLoads {
		g := m.groups[id]
		l := m.pendingLoad(g)
		if l.Ready == 0 {
			continue
		}
		if best == nil || loadorder.Before(l, first) {
			best, first = g, l
		}
	}
	return best
}

// pendingLoad describes a group's waiting members to the load order.
func (m *Machine) pendingLoad(g *group) loadorder.PendingLoad {
	mod := m.models[g.Model]
	l := loadorder.PendingLoad{
		Epoch:        uint64(g.Epoch),
		Down:         !g.takesWork(),
		BelowMinimum: mod.counts.takingWork < mod.spec.Minimum,
		Priority:     mod.spec.Priority,
	}
	for rank := range g.Ranks {
		if m.canStartLoad(m.member(g, rank), g) {
			l.Ready++
		}
		if m.canStartLoad(m.preparedHost(g, rank), g) {
			l.Ready++
		}
		l.Remaining += m.unloadedCount(g, rank)
	}
	return l
}

// canStartLoad reports whether a host waits for its load for a group and could start it at once.
func (m *Machine) canStartLoad(h *host, g *group) bool {
	return h != nil && h.Load.Phase == loadWaiting && h.Role.Group == g.ID && m.orderable(h)
}

// unloadedCount returns 1 if no host has a rank's weights, else 0.
func (m *Machine) unloadedCount(g *group, rank int) int {
	h := m.member(g, rank)
	if next := m.preparedHost(g, rank); next != nil {
		h = next
	}
	if h != nil && h.loaded() {
		return 0
	}
	return 1
}

// startableHosts returns the hosts of a rank that wait and could start to load at once.
func (m *Machine) startableHosts(g *group, rank int) []*host {
	var ready []*host
	for _, h := range []*host{m.member(g, rank), m.preparedHost(g, rank)} {
		if m.canStartLoad(h, g) {
			ready = append(ready, h)
		}
	}
	return ready
}

// startGroupLoads starts the waiting loads of a group while the weights store has free slots.
func (m *Machine) startGroupLoads(g *group) {
	for rank := range g.Ranks {
		for _, h := range m.startableHosts(g, rank) {
			if len(m.loadingHosts) >= m.opts.slots() {
				return
			}
			m.startLoad(h)
		}
	}
}

// startLoad lets a host load.
func (m *Machine) startLoad(h *host) {
	m.leaveQueue(h)
	h.Load = load{Phase: loadRunning, Since: m.now}
	m.refreshHost(h)
}
