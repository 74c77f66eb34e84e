package object

import (
	"cmp"
	"slices"
)

// maxPlacementSteps bounds the search for a placement. A set whose search
// takes longer is accepted: only what provably can't be placed is refused.
const maxPlacementSteps = 200_000

// placement refuses model groups whose copies don't fit into the fabric
// domains where they may stand, each alone and all together.
func (c *checker) placement() {
	if !c.hostsKnown() {
		return
	}
	have := newCapacity(c.set.FabricDomains)
	var demands []demand
	for _, m := range c.set.ModelGroups {
		d, ok := c.demand(m)
		if !ok {
			continue
		}
		if n := have.copies(d); n < d.copies {
			c.add(Ref{KindModelGroup, m.Name}, "copies",
				"%d copies of %d hosts are asked for, the fabric domains where they may stand hold %d", d.copies, d.size, n)
			continue
		}
		demands = append(demands, d)
	}
	failed, short := have.shortOfHosts(demands)
	if !short {
		failed, short = newPacking(demands, c.set.FabricDomains).infeasible()
	}
	if short {
		c.add(Ref{KindModelGroup, failed.group}, "copies",
			"%d copies of %d hosts don't fit into the fabric domains beside the other model groups", failed.copies, failed.size)
	}
}

// hostsKnown is false when the hosts of a fabric domain are in error and told
// already: nothing can be said of placement then.
func (c *checker) hostsKnown() bool {
	for _, f := range c.set.FabricDomains {
		if f.Hosts < 1 || f.Hosts > maxHosts || c.at.unread(Ref{KindFabricDomain, f.Name}, "hosts") {
			return false
		}
	}
	return true
}

// demand reads a model group; it is false when its fields are in error and
// told already.
func (c *checker) demand(m ModelGroup) (demand, bool) {
	for _, field := range []string{"copies", "hosts_per_group", "failure_domains"} {
		if c.at.unread(Ref{KindModelGroup, m.Name}, field) {
			return demand{}, false
		}
	}
	d := demand{group: m.Name, copies: m.Copies, size: m.HostsPerGroup, within: slices.Clone(m.FailureDomains)}
	slices.Sort(d.within)
	for _, name := range d.within {
		if !c.known[Ref{KindFailureDomain, name}] {
			return d, false
		}
	}
	inRange := m.Copies >= 1 && m.Copies <= maxCopies && m.HostsPerGroup >= 1 && m.HostsPerGroup <= maxPerGroup
	return d, inRange
}

// packing searches for a placement of all copies together.
type packing struct {
	demands []demand
	domains []FabricDomain
	free    []int // hosts left by fabric domain
	steps   int
	deepest int // demand that the search failed to place
}

// newPacking orders the demands so that the hardest to place come first.
func newPacking(demands []demand, domains []FabricDomain) *packing {
	p := &packing{demands: slices.Clone(demands), domains: domains, free: make([]int, len(domains))}
	slices.SortStableFunc(p.demands, func(a, b demand) int {
		return cmp.Or(-cmp.Compare(a.size, b.size), cmp.Compare(a.spread(), b.spread()), cmp.Compare(a.group, b.group))
	})
	for i, f := range domains {
		p.free[i] = f.Hosts
	}
	return p
}

// infeasible tells whether the whole search found no placement, and the demand
// that it could not place.
func (p *packing) infeasible() (demand, bool) {
	if p.try(0, 0, 0) || p.steps > maxPlacementSteps {
		return demand{}, false
	}
	return p.demands[p.deepest], true
}

// try places copies of demand i from fabric domain j on, with placed copies of
// it standing already; the most that fit are tried first.
func (p *packing) try(i, j, placed int) bool {
	if i == len(p.demands) {
		return true
	}
	d := p.demands[i]
	if placed == d.copies {
		return p.try(i+1, 0, 0)
	}
	p.deepest = max(p.deepest, i)
	if j == len(p.domains) {
		return false
	}
	most := 0
	if d.allows(p.domains[j]) {
		most = min(p.free[j]/d.size, d.copies-placed)
	}
	for n := most; n >= 0; n-- {
		p.steps++
		if p.steps > maxPlacementSteps {
			return false
		}
		p.free[j] -= n * d.size
		if p.try(i, j+1, placed+n) {
			return true
		}
		p.free[j] += n * d.size
	}
	return false
}
