package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/group/placement"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// formationsPerTick bounds the groups of one model that one step forms.
const formationsPerTick = 64

// plan forms, changes and dissolves groups so that there are as many as
// wanted.
func (m *Machine) plan() {
	for _, mod := range m.sortedModels() {
		m.rollOut(mod)
		m.dropSurplus(mod)
		m.fillUp(mod)
		if mod.removed && len(mod.groups) == 0 && mod.spareVersion == "" {
			delete(m.models, mod.want.Name)
		}
	}
	m.planSpares()
}

// target is how many groups a model should have now: one more than wanted
// while a rollout can't go on otherwise.
func (m *Machine) target(mod *model) int {
	if mod.blocked {
		return mod.want.Copies + 1
	}
	return mod.want.Copies
}

// fillUp forms groups that are missing, as far as there are hosts.
func (m *Machine) fillUp(mod *model) {
	missing := min(formationsPerTick, m.target(mod)-mod.tally.expected)
	if missing <= 0 {
		return
	}
	formed := m.formUpTo(mod, missing, m.available)
	if formed < missing && mod.tally.taking < mod.want.Copies {
		m.formUpTo(mod, missing-formed, m.usable)
	}
}

// formUpTo forms groups of hosts of a kind and tells how many.
func (m *Machine) formUpTo(mod *model, missing int, fit func(*host) bool) int {
	survey := m.survey(mod, fit)
	for formed := range missing {
		name, ok := survey.Choose(mod.want.HostsPerGroup, m.opts.SparesPerDomain)
		if !ok {
			return formed
		}
		m.form(mod, m.domains[name], fit)
	}
	return missing
}

// survey tells placement what hosts there are for a model.
func (m *Machine) survey(mod *model, fit func(*host) bool) *placement.Inventory {
	s := placement.NewInventory(mod.inDomain)
	for _, d := range m.domains {
		free := 0
		if len(d.free) >= mod.want.HostsPerGroup && mod.allows(d.failureDomain) {
			free = len(m.freeIn(d, fit))
		}
		s.Add(placement.Domain{Name: d.name, FailureDomain: d.failureDomain, Free: free})
	}
	return s
}

// freeIn gives the free hosts of a kind in a fabric domain, the best ones
// first.
func (m *Machine) freeIn(d *domain, fit func(*host) bool) []*host {
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

// form makes a new group of free hosts of a fabric domain.
func (m *Machine) form(mod *model, d *domain, fit func(*host) bool) {
	hosts := m.freeIn(d, fit)[:mod.want.HostsPerGroup]
	m.numbers[mod.want.Name]++
	g := &group{
		ID:            view.GroupID(fmt.Sprintf("%s-%d", mod.want.Name, m.numbers[mod.want.Name])),
		Model:         mod.want.Name,
		Epoch:         m.nextEpoch(),
		State:         view.StateForming,
		Version:       mod.want.Version,
		Adapters:      mod.adapters,
		Weights:       mod.weights,
		FabricDomain:  d.name,
		FailureDomain: hosts[0].Info.FailureDomain,
		Seats:         make([]seat, len(hosts)),
		Cause:         CauseFormation,
		Since:         m.now,
	}
	m.addGroup(g)
	for rank, h := range ranked(hosts, mod) {
		g.Seats[rank].occupy(h)
		m.setRole(h, g.role(rank, g.Epoch))
	}
	m.alter(g)
	m.recount(g)
	m.touch(g)
}

// ranked orders hosts by rank: spares get the rank whose weights they hold.
func ranked(hosts []*host, mod *model) []*host {
	byRank := make([]*host, len(hosts))
	var others []*host
	for _, h := range hosts {
		r := h.Role.Rank
		if h.Role.Spare == mod.want.Name && r < len(hosts) && byRank[r] == nil {
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

// addGroup enters a group in the indexes.
func (m *Machine) addGroup(g *group) {
	m.groups[g.ID] = g
	mod := m.models[g.Model]
	mod.groups[g.ID] = g
	if g.State != view.StateDissolving {
		mod.inDomain[g.FailureDomain]++
	}
	m.domains[g.FabricDomain].groups[g.ID] = g
}

// dropSurplus dissolves groups beyond those wanted: those that take no work
// once the others do; those that do only after a while, as a failure domain
// that returned may leave again.
func (m *Machine) dropSurplus(mod *model) {
	surplus := mod.tally.groups - m.target(mod)
	if surplus <= 0 {
		mod.surplusSince = 0
		return
	}
	m.dropIdle(mod, surplus)
	m.dropServing(mod)
}

// dropIdle dissolves surplus groups that take no work.
func (m *Machine) dropIdle(mod *model, surplus int) {
	enough := mod.tally.taking >= m.target(mod)
	excess := mod.tally.expected - m.target(mod)
	groups := mod.sorted()
	slices.Reverse(groups)
	for _, g := range groups {
		if surplus <= 0 {
			return
		}
		if g.takesWork() || g.State == view.StateDissolving || g.Out && !mod.removed {
			continue
		}
		unbegun := excess > 0 && g.expected() && m.unbegun(g)
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

// unbegun tells whether no member of a group has begun to fetch weights.
func (m *Machine) unbegun(g *group) bool {
	for rank := range g.Seats {
		h := m.seated(g, rank)
		if h != nil && (h.Load.Phase != loadWaiting || h.loaded()) {
			return false
		}
	}
	return !g.Served
}

// dropServing dissolves surplus groups that take work.
func (m *Machine) dropServing(mod *model) {
	surplus := mod.tally.taking - m.target(mod)
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

// leastNeeded orders the groups that take work, those to give up first:
// outdated ones, then in failure domains with many groups, then the latest.
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
