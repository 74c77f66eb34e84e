package group

import (
	"github.com/sesamemux/sesamemux/pkg/group/loadorder"
)

// scheduleLoads lets waiting members fetch weights while the store has room.
func (m *Machine) scheduleLoads() {
	if m.opts.LoadOrder == LoadConcurrent {
		m.allowAll()
		m.scheduleSpares()
		return
	}
	for len(m.waiting) > 0 && len(m.running) < m.opts.slots() {
		g := m.nextLoad()
		if g == nil {
			break
		}
		m.allowGroup(g)
	}
	m.scheduleSpares()
}

// allowAll lets every waiting member fetch.
func (m *Machine) allowAll() {
	for id := range m.waiting {
		g := m.groups[id]
		for rank := range g.Seats {
			for _, h := range m.fetchers(g, rank) {
				m.allow(h)
			}
		}
	}
}

// nextLoad gives the waiting group that comes first, or nil.
func (m *Machine) nextLoad() *group {
	var best *group
	var first loadorder.PendingLoad
	for id := range m.waiting {
		g := m.groups[id]
		l := m.loadOf(g)
		if l.Ready == 0 {
			continue
		}
		if best == nil || loadorder.Before(l, first) {
			best, first = g, l
		}
	}
	return best
}

// loadOf tells the load order of a group's waiting members.
func (m *Machine) loadOf(g *group) loadorder.PendingLoad {
	mod := m.models[g.Model]
	l := loadorder.PendingLoad{
		Epoch:        uint64(g.Epoch),
		Down:         !g.takesWork(),
		BelowMinimum: mod.tally.taking < mod.want.Minimum,
		Priority:     mod.want.Priority,
	}
	for rank := range g.Seats {
		if m.couldFetch(m.seated(g, rank), g) {
			l.Ready++
		}
		if m.couldFetch(m.prepared(g, rank), g) {
			l.Ready++
		}
		l.Remaining += m.unloaded(g, rank)
	}
	return l
}

// couldFetch tells whether a host waits for its load for a group and could
// begin at once.
func (m *Machine) couldFetch(h *host, g *group) bool {
	return h != nil && h.Load.Phase == loadWaiting && h.Role.Group == g.ID && m.orderable(h)
}

// unloaded is 1 if no host has a rank's weights, else 0.
func (m *Machine) unloaded(g *group, rank int) int {
	h := m.seated(g, rank)
	if next := m.prepared(g, rank); next != nil {
		h = next
	}
	if h != nil && h.loaded() {
		return 0
	}
	return 1
}

// fetchers gives the hosts of a rank that wait and could fetch at once.
func (m *Machine) fetchers(g *group, rank int) []*host {
	var ready []*host
	for _, h := range []*host{m.seated(g, rank), m.prepared(g, rank)} {
		if m.couldFetch(h, g) {
			ready = append(ready, h)
		}
	}
	return ready
}

// allowGroup lets the waiting members of a group fetch, as far as the store
// has room.
func (m *Machine) allowGroup(g *group) {
	for rank := range g.Seats {
		for _, h := range m.fetchers(g, rank) {
			if len(m.running) >= m.opts.slots() {
				return
			}
			m.allow(h)
		}
	}
}

// allow lets a host fetch.
func (m *Machine) allow(h *host) {
	m.leaveQueue(h)
	h.Load = load{Phase: loadRunning, Since: m.now}
	m.refreshHost(h)
}
