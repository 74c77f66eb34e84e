package group

import "slices"

// merge makes one whole group of two broken ones of a fabric domain: g gets
// members of a group that can't be repaired either and lacks more, or equally
// many and comes later. What is left of that one becomes free.
func (m *Machine) merge(g *group) bool {
	if m.opts.Policy != PolicyMinDowntime || g.takesWork() || !m.passed(g.LeftAt) {
		return false
	}
	donor := m.donor(g)
	if donor == nil {
		return false
	}
	m.cancelNexts(donor)
	for rank := range g.Seats {
		if g.Seats[rank].Next != "" || !m.replaceNow(g, rank) {
			continue
		}
		m.moveMember(g, rank, donor)
	}
	m.dissolve(donor, donor.Cause)
	return true
}

// donor gives the group whose members are to complete g, or nil.
func (m *Machine) donor(g *group) *group {
	need := m.missing(g)
	var best *group
	for _, o := range m.domains[g.FabricDomain].groups {
		if o == g || !m.canDonate(o, g, need) {
			continue
		}
		if best == nil || m.missing(o) > m.missing(best) ||
			m.missing(o) == m.missing(best) && o.ID > best.ID {
			best = o
		}
	}
	return best
}

func (m *Machine) canDonate(o, g *group, need int) bool {
	if o.Model != g.Model || o.Version != g.Version || !slices.Equal(o.Adapters, g.Adapters) {
		return false
	}
	if !o.Doubtful || o.draining() || !m.passed(o.LeftAt) {
		return false
	}
	lacks := m.missing(o)
	if lacks < need || lacks == need && o.ID < g.ID {
		return false
	}
	return m.healthy(o) >= need
}

// healthy counts the members of a group that could work elsewhere.
func (m *Machine) healthy(g *group) int {
	n := 0
	for rank := range g.Seats {
		if m.movable(g, rank) {
			n++
		}
	}
	return n
}

func (m *Machine) movable(g *group, rank int) bool {
	h := m.seated(g, rank)
	return h != nil && h.Present && h.Reported && m.trouble(g, rank) == troubleNone
}

// moveMember prepares a member of another group for a rank of g, if it can be
// the one of the same rank, as that one has the weights.
func (m *Machine) moveMember(g *group, rank int, from *group) {
	source := rank
	if source >= len(from.Seats) || !m.movable(from, source) {
		source = slices.IndexFunc(from.Seats, func(s seat) bool {
			h := s.host
			return h != nil && h.Present && h.Reported && !m.out(h)
		})
	}
	if source < 0 {
		return
	}
	h := m.seated(from, source)
	from.Seats[source].vacate()
	m.alter(from)
	h.Guard = max(h.Guard, from.LeftAt)
	g.Seats[rank].prepare(h)
	m.setRole(h, g.role(rank, m.nextEpoch()))
}
