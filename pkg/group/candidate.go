package group

import "cmp"

// candidate gives the free host of the group's fabric domain that is best for
// a rank, or nil.
func (m *Machine) candidate(g *group, rank int) *host {
	d := m.domains[g.FabricDomain]
	if d == nil {
		return nil
	}
	r := g.role(rank, 0)
	home := g.Seats[rank].Home
	var best *host
	for _, h := range d.free {
		if !m.suits(h, g, rank) {
			continue
		}
		if m.opts.Policy == PolicyWait && h.Info.Name != home {
			continue
		}
		if best == nil || m.better(h, best, r) {
			best = h
		}
	}
	return best
}

// suits tells whether a free host may take a rank over. A group that is down
// takes one that fails often over none; a group that works gives up a member
// only for a host that fails far less.
func (m *Machine) suits(h *host, g *group, rank int) bool {
	if m.trouble(g, rank) != troubleLight {
		return m.usable(h)
	}
	worst := m.seated(g, rank).Faults.current(m.now)
	return m.available(h) && !h.Faults.flapping(m.now) &&
		(m.seated(g, rank).Slow || h.Faults.current(m.now) < worst)
}

// warmth ranks hosts by what they hold: the weights of a role, part of them,
// nothing, others.
func warmth(h *host, r role) int {
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

// better tells whether host a is better for a role than b: not damped, with
// the weights already loaded, with fewer faults, first by name.
func (m *Machine) better(a, b *host, r role) bool {
	if da, db := a.Faults.damped(m.now), b.Faults.damped(m.now); da != db {
		return db
	}
	if c := cmp.Compare(warmth(a, r), warmth(b, r)); c != 0 {
		return c > 0
	}
	c := cmp.Compare(a.Faults.current(m.now), b.Faults.current(m.now))
	if c != 0 {
		return c < 0
	}
	return a.Info.Name < b.Info.Name
}
