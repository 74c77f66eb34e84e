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
		if !m.available(h) {
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

// better tells whether host a is better for a role than b: with the weights
// already loaded, with fewer faults, first by name.
func (m *Machine) better(a, b *host, r role) bool {
	if wa, wb := r.loadedBy(a.Status), r.loadedBy(b.Status); wa != wb {
		return wa
	}
	c := cmp.Compare(a.Faults.current(m.now), b.Faults.current(m.now))
	if c != 0 {
		return c < 0
	}
	return a.Info.Name < b.Info.Name
}
