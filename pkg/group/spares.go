package group

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// sparesShare is the part of the store's slots, as one in so many, that loads
// of spares may take.
const sparesShare = 4

// planSpares has free hosts fetch weights, each those of one rank, so that
// they can take that rank over at once.
func (m *Machine) planSpares() {
	if m.opts.ColdSpares || m.opts.Policy != PolicyMinDowntime {
		return
	}
	m.dropOldSpares()
	m.dropStuckSpares()
	for _, name := range slices.Sorted(maps.Keys(m.cold)) {
		d := m.domains[name]
		if mod := m.sparesFor(d); mod != nil {
			m.warmDomain(d, mod)
		}
	}
}

// sparesFor gives the model whose spares a fabric domain should hold: the one
// with the most groups there. It is nil while hosts are needed for groups.
func (m *Machine) sparesFor(d *domain) *model {
	counts := make(map[string]int)
	for _, g := range d.groups {
		if g.State != view.StateDissolving {
			counts[g.Model]++
		}
	}
	var best *model
	for _, mod := range m.sortedModels() {
		if mod.tally.expected < mod.want.Copies {
			return nil
		}
		if n := counts[mod.want.Name]; n > 0 && !mod.removed && (best == nil || n > counts[best.want.Name]) {
			best = mod
		}
	}
	return best
}

// warmDomain gives the cold free hosts of a fabric domain ranks of a model.
func (m *Machine) warmDomain(d *domain, mod *model) {
	held := make([]int, mod.want.HostsPerGroup)
	for _, h := range d.free {
		if h.Role.Spare == mod.want.Name && h.Role.Rank < len(held) {
			held[h.Role.Rank]++
		}
	}
	for _, h := range m.freeIn(d, m.available) {
		if !h.cold() || h.Unsettled {
			continue
		}
		rank := slices.Index(held, slices.Min(held))
		if held[rank] > 0 {
			return
		}
		held[rank]++
		m.setSpare(h, m.spareOf(mod, rank))
	}
}

// spareOf gives the role of a free host that holds a rank's weights.
func (m *Machine) spareOf(mod *model, rank int) role {
	return role{
		Group:    spareGroup(mod.want.Name),
		Spare:    mod.want.Name,
		Version:  mod.want.Version,
		Adapters: mod.adapters,
		Rank:     rank,
		Weights:  mod.weights,
	}
}

// spareRole gives the role in which a host that is to be free keeps the
// weights that it has or fetches.
func (m *Machine) spareRole(h *host) (role, bool) {
	if m.opts.ColdSpares || m.opts.Policy != PolicyMinDowntime || !h.Present || !h.Reported || m.out(h) {
		return role{}, false
	}
	for _, mod := range m.sortedModels() {
		r := m.spareOf(mod, h.Status.Rank)
		if !mod.removed && r.Rank < mod.want.HostsPerGroup && m.hasOrFetches(h, r) {
			return r, true
		}
	}
	return role{}, false
}

// hasOrFetches tells whether a host has a role's weights or is about to.
func (m *Machine) hasOrFetches(h *host, r role) bool {
	if r.loadedBy(h.Status) {
		return true
	}
	return h.Load.Phase == loadRunning && h.Role.sameWeights(r)
}

// keepWarm lets a free host keep the weights that it reports.
func (m *Machine) keepWarm(h *host) {
	if !h.cold() || h.Status.Group == "" {
		return
	}
	if r, ok := m.spareRole(h); ok {
		m.setSpare(h, r)
	}
}

// setSpare gives a free host a role as a spare.
func (m *Machine) setSpare(h *host, r role) {
	r.Epoch = m.nextEpoch()
	m.setRole(h, r)
}

// dropStuckSpares frees spares that fetch far longer than they should.
func (m *Machine) dropStuckSpares() {
	var stuck []*host
	for _, h := range m.running {
		if h.Role.Spare != "" && m.loadOverdue(h, h.Role.Weights) {
			stuck = append(stuck, h)
		}
	}
	slices.SortFunc(stuck, byName)
	for _, h := range stuck {
		m.chill(h)
	}
}

// chill has a free host that makes no headway drop what it fetches, so that it
// begins anew if it is needed again.
func (m *Machine) chill(h *host) {
	h.Faults = h.Faults.add(m.now)
	m.setRole(h, role{Epoch: m.nextEpoch()})
}

// dropOldSpares frees spares of versions that no group needs any more.
func (m *Machine) dropOldSpares() {
	for _, mod := range m.sortedModels() {
		if mod.spareVersion == mod.want.Version || mod.tally.outdated > 0 {
			continue
		}
		mod.spareVersion = mod.want.Version
		m.dropSpares(mod)
	}
}

// dropSpares frees the spares of a model that hold another version than
// wanted.
func (m *Machine) dropSpares(mod *model) {
	var old []*host
	for _, h := range m.spares {
		if h.Role.Spare == mod.want.Name && h.Role.Version != mod.want.Version {
			old = append(old, h)
		}
	}
	slices.SortFunc(old, byName)
	for _, h := range old {
		m.setRole(h, role{Epoch: m.nextEpoch()})
	}
}

// scheduleSpares lets spares fetch with what the groups leave of the store.
func (m *Machine) scheduleSpares() {
	if len(m.idle) == 0 || len(m.waiting) > 0 {
		return
	}
	room := m.opts.slots() - len(m.running)
	room = min(room, max(1, m.opts.slots()/sparesShare)-m.sparesFetching())
	if room <= 0 {
		return
	}
	var ready []*host
	for _, h := range m.idle {
		if m.orderable(h) {
			ready = append(ready, h)
		}
	}
	slices.SortFunc(ready, func(a, b *host) int {
		return cmp.Compare(a.Role.Epoch, b.Role.Epoch)
	})
	for _, h := range ready[:min(room, len(ready))] {
		m.allow(h)
	}
}

// sparesFetching counts the spares that fetch now.
func (m *Machine) sparesFetching() int {
	n := 0
	for _, h := range m.running {
		if h.Role.Spare != "" {
			n++
		}
	}
	return n
}

// indexSpare keeps the indexes of free hosts.
func (m *Machine) indexSpare(h *host) {
	if h.Role.Spare != "" {
		m.spares[h.Info.Name] = h
	} else {
		delete(m.spares, h.Info.Name)
	}
	m.indexCold(h.Info.FabricDomain)
}

// indexCold keeps the set of fabric domains with cold free hosts.
func (m *Machine) indexCold(name string) {
	for _, h := range m.domains[name].free {
		if h.cold() {
			m.cold[name] = true
			return
		}
	}
	delete(m.cold, name)
}
