package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/group/placement"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// formationsPerTick limits how many groups of one model a step forms.
const formationsPerTick = 64

// plan forms, updates and dissolves groups to reach the declared number.
func (m *Machine) plan() {
	for _, mod := range m.sortedModels() {
		m.rollOut(mod)
		m.dissolveSurplus(mod)
		m.formMissing(mod)
		if mod.removed && len(mod.groups) == 0 && mod.spareVersion == "" {
			delete(m.models, mod.spec.Name)
		}
	}
	m.planSpares()
}

// targetGroups returns how many groups a model should have now: one more than declared while a
// rollout is blocked without it.
func (m *Machine) targetGroups(mod *model) int {
	if mod.blocked {
		return mod.spec.Copies + 1
	}
	return mod.spec.Copies
}

// formMissing forms the groups that are missing, as far as hosts are available.
func (m *Machine) formMissing(mod *model) {
	missing := min(formationsPerTick, m.targetGroups(mod)-mod.counts.expected)
	if missing <= 0 {
		return
	}
	formed := m.formUpTo(mod, missing, m.available)
	if formed < missing && mod.counts.takingWork < mod.spec.Copies {
		m.formUpTo(mod, missing-formed, m.usable)
	}
}

// formUpTo forms up to the given number of groups from hosts that fit and returns how many it
// formed.
func (m *Machine) formUpTo(mod *model, missing int, fit func(*host) bool) int {
	inventory := m.inventory(mod, fit)
	for formed := range missing {
		name, ok := inventory.Choose(mod.spec.HostsPerGroup, m.opts.SparesPerDomain)
		if !ok {
			return formed
		}
		m.form(mod, m.domains[name], fit)
	}
	return missing
}

// inventory lists for placement the free hosts that fit a model.
func (m *Machine) inventory(mod *model, fit func(*host) bool) *placement.Inventory {
	s := placement.NewInventory(mod.inDomain)
	for _, d := range m.domains {
		free := 0
		if len(d.free) >= mod.spec.HostsPerGroup && mod.allows(d.failureDomain) {
			free = len(m.freeHosts(d, fit))
		}
		s.Add(placement.Domain{Name: d.name, FailureDomain: d.failureDomain, Free: free})
	}
	return s
}

// freeHosts returns the free hosts of a fabric domain that fit, fewest faults first.
func (m *Machine) freeHosts(d *domain, fit func(*host) bool) []*host {
	var hosts []*host
	for _, h := range d.free {
		if fit(h) {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b *host) int {
		c := cmp.Compare(a.Faults.current(m.now), b.Faults.current(m.now))
		if c != 0 {
			return c
		}
		return byName(a, b)
	})
	return hosts
}

// form creates a group from free hosts of a fabric domain.
func (m *Machine) form(mod *model, d *domain, fit func(*host) bool) {
	hosts := m.freeHosts(d, fit)[:mod.spec.HostsPerGroup]
	m.numbers[mod.spec.Name]++
	g := &group{
		ID:            view.GroupID(fmt.Sprintf("%s-%d", mod.spec.Name, m.numbers[mod.spec.Name])),
		Model:         mod.spec.Name,
		Epoch:         m.nextEpoch(),
		State:         view.StateForming,
		Version:       mod.spec.Version,
		Adapters:      mod.adapters,
		Weights:       mod.weights,
		FabricDomain:  d.name,
		FailureDomain: hosts[0].Info.FailureDomain,
		Ranks:         make([]rankSlot, len(hosts)),
		Cause:         CauseFormation,
		Since:         m.now,
	}
	m.addGroup(g)
	for rank, h := range assignRanks(hosts, mod) {
		g.Ranks[rank].assign(h)
		m.setRole(h, g.role(rank, g.Epoch))
	}
	m.markChanged(g)
	m.updateCounts(g)
	m.markDirty(g)
}

// assignRanks orders hosts by rank: a spare gets the rank whose weights it holds.
func assignRanks(hosts []*host, mod *model) []*host {
	byRank := make([]*host, len(hosts))
	var others []*host
	for _, h := range hosts {
		r := h.Role.Rank
		if h.Role.Spare == mod.spec.Name && r < len(hosts) && byRank[r] == nil {
			byRank[r] = h
			continue
		}
		others = append(others, h)
	}
	for rank := range byRank {
		if byRank[rank] == nil {
			byRank[rank] = others[0]
			others = others[1:]
		}
	}
	return byRank
}

// addGroup adds a group to the indexes.
func (m *Machine) addGroup(g *group) {
	m.groups[g.ID] = g
	mod := m.models[g.Model]
	mod.groups[g.ID] = g
	if g.State != view.StateDissolving {
		mod.inDomain[g.FailureDomain]++
	}
	m.domains[g.FabricDomain].groups[g.ID] = g
}

// dissolveSurplus dissolves the groups beyond the target. Groups that take no work go as soon as
// enough others take work. Groups that take work go only after SurplusRetention, because a failure
// domain that has returned may be lost again.
func (m *Machine) dissolveSurplus(mod *model) {
	surplus := mod.counts.groups - m.targetGroups(mod)
	if surplus <= 0 {
		mod.surplusSince = 0
		return
	}
	m.dissolveIdleSurplus(mod, surplus)
	m.dissolveServingSurplus(mod)
}

// dissolveIdleSurplus dissolves surplus groups that take no work.
func (m *Machine) dissolveIdleSurplus(mod *model, surplus int) {
	enough := mod.counts.takingWork >= m.targetGroups(mod)
	excess := mod.counts.expected - m.targetGroups(mod)
	groups := mod.sorted()
	slices.Reverse(groups)
	for _, g := range groups {
		if surplus <= 0 {
			return
		}
		if g.takesWork() || g.State == view.StateDissolving || g.MemberDrained && !mod.removed {
			continue
		}
		unbegun := excess > 0 && g.expected() && m.loadNotStarted(g)
		if !enough && !unbegun {
			continue
		}
		m.dissolve(g, g.Cause)
		surplus--
		if unbegun {
			excess--
		}
	}
}

// loadNotStarted reports whether no member of a group has started to load weights and the group
// has never served.
func (m *Machine) loadNotStarted(g *group) bool {
	for rank := range g.Ranks {
		h := m.member(g, rank)
		if h != nil && (h.Load.Phase != loadWaiting || h.loaded()) {
			return false
		}
	}
	return !g.Served
}

// dissolveServingSurplus dissolves surplus groups that take work.
func (m *Machine) dissolveServingSurplus(mod *model) {
	surplus := mod.counts.takingWork - m.targetGroups(mod)
	if surplus <= 0 {
		mod.surplusSince = 0
		return
	}
	if mod.surplusSince == 0 {
		mod.surplusSince = m.now
	}
	held := time.Duration(m.now - mod.surplusSince)
	if held < m.opts.SurplusRetention && !mod.removed {
		return
	}
	for _, g := range m.leastNeeded(mod)[:surplus] {
		m.dissolve(g, CauseFormation)
	}
	mod.surplusSince = 0
}

// leastNeeded returns the groups that take work, those to dissolve first in front: outdated
// groups, then groups in failure domains that hold many, then the newest.
func (m *Machine) leastNeeded(mod *model) []*group {
	inDomain := make(map[string]int)
	var taking []*group
	for _, g := range mod.sorted() {
		if g.takesWork() {
			taking = append(taking, g)
			inDomain[g.FailureDomain]++
		}
	}
	slices.SortStableFunc(taking, func(a, b *group) int {
		if oa, ob := mod.outdated(a), mod.outdated(b); oa != ob {
			if oa {
				return -1
			}
			return 1
		}
		c := cmp.Compare(inDomain[b.FailureDomain], inDomain[a.FailureDomain])
		if c != 0 {
			return c
		}
		return cmp.Compare(b.Epoch, a.Epoch)
	})
	return taking
}
