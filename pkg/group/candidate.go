package group

import "cmp"

// candidate returns the best free host in the group's fabric domain for a rank, or nil.
func (m *Machine) candidate(g *group, rank int) *host {
	d := m.domains[g.FabricDomain]
	if d == nil {
		return nil
	}
	r := g.role(rank, 0)
	home := g.Ranks[rank].LastHost
	var best *host
	for _, h := range d.free {
		if !m.eligible(h, g, rank) {
			continue
		}
		if m.opts.Policy == PolicyWait && h.Info.Name != home {
			continue
		}
		if best == nil || m.preferred(h, best, r) {
			best = h
		}
	}
	return best
}

// eligible reports whether a free host may take over a rank. A group that is down accepts any
// usable host, even one that fails often, rather than none. A group that works gives up a member
// only for a host that fails less, unless the member is slow.
func (m *Machine) eligible(h *host, g *group, rank int) bool {
	if m.health(g, rank) != healthDegraded {
		return m.usable(h)
	}
	worst := m.member(g, rank).Faults.current(m.now)
	return m.available(h) && !h.Faults.flapping(m.now) &&
		(m.member(g, rank).Slow || h.Faults.current(m.now) < worst)
}

// weightsMatch scores a host by what it holds: 3 for the weights of the role, 2 for part of them,
// 1 for nothing, 0 for other weights.
func weightsMatch(h *host, r role) int {
	switch {
	case r.loadedBy(h.Status):
		return 3
	case h.Role.sameWeights(r):
		return 2
	case h.cold():
		return 1
	default:
		return 0
	}
}

// preferred reports whether host a suits a role better than host b. In order of importance: not
// damped, better weights match, fewer faults, lower name.
func (m *Machine) preferred(a, b *host, r role) bool {
	if da, db := a.Faults.damped(m.now), b.Faults.damped(m.now); da != db {
		return db
	}
	if c := cmp.Compare(weightsMatch(a, r), weightsMatch(b, r)); c != 0 {
		return c > 0
	}
	c := cmp.Compare(a.Faults.current(m.now), b.Faults.current(m.now))
	if c != 0 {
		return c < 0
	}
	return a.Info.Name < b.Info.Name
}
