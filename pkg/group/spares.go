package group

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// spareSlotsDivisor limits loads of spares to this fraction of the store's slots: one in so many.
const spareSlotsDivisor = 4

// planSpares makes free hosts load weights, each those of one rank, so that they can take over
// that rank at once.
func (m *Machine) planSpares() {
	if m.opts.ColdSpares || m.opts.Policy != PolicyMinDowntime {
		return
	}
	m.dropOldSpares()
	m.dropStuckSpares()
	for _, name := range slices.Sorted(maps.Keys(m.coldDomains)) {
		d := m.domains[name]
		if mod := m.spareModel(d); mod != nil {
			m.assignSpares(d, mod)
		}
	}
}

// spareModel returns the model whose spares a fabric domain should hold: the one with the most
// groups there. It returns nil while hosts are needed for groups.
func (m *Machine) spareModel(d *domain) *model {
	counts := make(map[string]int)
	for _, g := range d.groups {
		if g.State != view.StateDissolving {
			counts[g.Model]++
		}
	}
	var best *model
	for _, mod := range m.sortedModels() {
		if mod.counts.expected < mod.spec.Copies {
			return nil
		}
		if n := counts[mod.spec.Name]; n > 0 && !mod.removed && (best == nil || n > counts[best.spec.Name]) {
			best = mod
		}
	}
	return best
}

// assignSpares assigns ranks of a model to the free hosts of a fabric domain that hold no weights.
func (m *Machine) assignSpares(d *domain, mod *model) {
	held := make([]int, mod.spec.HostsPerGroup)
	for _, h := range d.free {
		if h.Role.Spare == mod.spec.Name && h.Role.Rank < len(held) {
			held[h.Role.Rank]++
		}
	}
	for _, h := range m.freeHosts(d, m.available) {
		if !h.cold() || h.OrderDue {
			continue
		}
		rank := slices.Index(held, slices.Min(held))
		if held[rank] > 0 {
			return
		}
		held[rank]++
		m.setSpare(h, m.spareRoleFor(mod, rank))
	}
}

// spareRoleFor returns the role of a free host that holds a rank's weights.
func (m *Machine) spareRoleFor(mod *model, rank int) role {
	return role{
		Group:    spareGroup(mod.spec.Name),
		Spare:    mod.spec.Name,
		Version:  mod.spec.Version,
		Adapters: mod.adapters,
		Rank:     rank,
		Weights:  mod.weights,
	}
}

// retainedSpareRole returns the role in which a host that becomes free keeps the weights that it
// has or is loading.
func (m *Machine) retainedSpareRole(h *host) (role, bool) {
	if m.opts.ColdSpares || m.opts.Policy != PolicyMinDowntime || !h.Present || !h.Reported || m.drained(h) {
		return role{}, false
	}
	for _, mod := range m.sortedModels() {
		r := m.spareRoleFor(mod, h.Status.Rank)
		if !mod.removed && r.Rank < mod.spec.HostsPerGroup && m.hasOrLoads(h, r) {
			return r, true
		}
	}
	return role{}, false
}

// hasOrLoads reports whether a host has a role's weights or is loading them.
func (m *Machine) hasOrLoads(h *host, r role) bool {
	if r.loadedBy(h.Status) {
		return true
	}
	return h.Load.Phase == loadRunning && h.Role.sameWeights(r)
}

// retainWeights lets a free host keep the weights that it reports.
func (m *Machine) retainWeights(h *host) {
	if !h.cold() || h.Status.Group == "" {
		return
	}
	if r, ok := m.retainedSpareRole(h); ok {
		m.setSpare(h, r)
	}
}

// setSpare assigns a free host a role as a spare.
func (m *Machine) setSpare(h *host, r role) {
	r.Epoch = m.nextEpoch()
	m.setRole(h, r)
}

// dropStuckSpares frees spares whose loads take far longer than expected.
func (m *Machine) dropStuckSpares() {
	var stuck []*host
	for _, h := range m.loadingHosts {
		if h.Role.Spare != "" && m.loadOverdue(h, h.Role.Weights) {
			stuck = append(stuck, h)
		}
	}
	slices.SortFunc(stuck, byName)
	for _, h := range stuck {
		m.abortLoad(h)
	}
}

// abortLoad makes a free host that makes no progress drop its load, so that it starts anew when it
// is needed again.
func (m *Machine) abortLoad(h *host) {
	h.Faults = h.Faults.add(m.now)
	m.setRole(h, role{Epoch: m.nextEpoch()})
}

// dropOldSpares frees spares of versions that no group needs any more.
func (m *Machine) dropOldSpares() {
	for _, mod := range m.sortedModels() {
		if mod.spareVersion == mod.spec.Version || mod.counts.outdated > 0 {
			continue
		}
		mod.spareVersion = mod.spec.Version
		m.dropSpares(mod)
	}
}

// dropSpares frees the spares of a model that hold another version than the declared one.
func (m *Machine) dropSpares(mod *model) {
	var old []*host
	for _, h := range m.spares {
		if h.Role.Spare == mod.spec.Name && h.Role.Version != mod.spec.Version {
			old = append(old, h)
		}
	}
	slices.SortFunc(old, byName)
	for _, h := range old {
		m.setRole(h, role{Epoch: m.nextEpoch()})
	}
}

// scheduleSpares starts loads of spares with the slots of the store that groups leave free.
func (m *Machine) scheduleSpares() {
	if len(m.waitingSpares) == 0 || len(m.waitingLoads) > 0 {
		return
	}
	room := m.opts.slots() - len(m.loadingHosts)
	room = min(room, max(1, m.opts.slots()/spareSlotsDivisor)-m.sparesLoading())
	if room <= 0 {
		return
	}
	var ready []*host
	for _, h := range m.waitingSpares {
		if m.orderable(h) {
			ready = append(ready, h)
		}
	}
	slices.SortFunc(ready, func(a, b *host) int {
		return cmp.Compare(a.Role.Epoch, b.Role.Epoch)
	})
	for _, h := range ready[:min(room, len(ready))] {
		m.startLoad(h)
	}
}

// sparesLoading returns the number of spares that are loading.
func (m *Machine) sparesLoading() int {
	n := 0
	for _, h := range m.loadingHosts {
		if h.Role.Spare != "" {
			n++
		}
	}
	return n
}

// indexSpare updates the indexes of free hosts.
func (m *Machine) indexSpare(h *host) {
	if h.Role.Spare != "" {
		m.spares[h.Info.Name] = h
	} else {
		delete(m.spares, h.Info.Name)
	}
	m.indexCold(h.Info.FabricDomain)
}

// indexCold updates the set of fabric domains with free hosts that hold no weights.
func (m *Machine) indexCold(name string) {
	for _, h := range m.domains[name].free {
		if h.cold() {
			m.coldDomains[name] = true
			return
		}
	}
	delete(m.coldDomains, name)
}
