package group

import "slices"

// merge completes a broken group with members of another broken group in the same fabric domain.
// The donor is a group that can't be repaired either and that lacks more members than g, or
// equally many and has the higher ID. The remaining hosts of the donor become free.
func (m *Machine) merge(g *group) bool {
	if m.opts.Policy != PolicyMinDowntime || g.takesWork() || !m.barrierReached(g.StopRevision) {
		return false
	}
	donor := m.donor(g)
	if donor == nil {
		return false
	}
	m.cancelAllPrepared(donor)
	for rank := range g.Ranks {
		if g.Ranks[rank].PreparedHost != "" || !m.replacementDue(g, rank) {
			continue
		}
		m.moveMember(g, rank, donor)
	}
	m.dissolve(donor, donor.Cause)
	return true
}

// donor returns the group whose members complete g, or nil.
func (m *Machine) donor(g *group) *group {
	need := m.countMissing(g)
	var best *group
	for _, o := range m.domains[g.FabricDomain].groups {
		if o == g || !m.canDonate(o, g, need) {
			continue
		}
		if best == nil || m.countMissing(o) > m.countMissing(best) ||
			m.countMissing(o) == m.countMissing(best) && o.ID > best.ID {
			best = o
		}
	}
	return best
}

// canDonate reports whether group o can complete g, which needs the given number of members.
func (m *Machine) canDonate(o, g *group, need int) bool {
	if o.Model != g.Model || o.Version != g.Version || !slices.Equal(o.Adapters, g.Adapters) {
		return false
	}
	if !o.RecoveryBlocked || o.draining() || !m.barrierReached(o.StopRevision) {
		return false
	}
	lacks := m.countMissing(o)
	if lacks < need || lacks == need && o.ID < g.ID {
		return false
	}
	return m.countMovable(o) >= need
}

// countMovable counts the members of a group that could work in another one.
func (m *Machine) countMovable(g *group) int {
	n := 0
	for rank := range g.Ranks {
		if m.movable(g, rank) {
			n++
		}
	}
	return n
}

// movable reports whether the member of a rank could work in another group.
func (m *Machine) movable(g *group, rank int) bool {
	h := m.member(g, rank)
	return h != nil && h.Present && h.Reported && m.health(g, rank) == healthOK
}

// moveMember prepares a member of another group for a rank of g. It prefers the member of the same
// rank, which already has the weights.
func (m *Machine) moveMember(g *group, rank int, from *group) {
	source := rank
	if source >= len(from.Ranks) || !m.movable(from, source) {
		source = slices.IndexFunc(from.Ranks, func(s rankSlot) bool {
			h := s.host
			return h != nil && h.Present && h.Reported && !m.drained(h)
		})
	}
	if source < 0 {
		return
	}
	h := m.member(from, source)
	from.Ranks[source].clear()
	m.markChanged(from)
	h.RoleBarrier = max(h.RoleBarrier, from.StopRevision)
	g.Ranks[rank].prepare(h)
	m.setRole(h, g.role(rank, m.nextEpoch()))
}
