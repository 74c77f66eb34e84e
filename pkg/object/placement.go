package object

import (
	"cmp"
	"slices"
)

// maxPlacementSteps bounds the search for a placement. A set whose search takes longer
// is accepted: only sets that provably can't be placed are rejected.
const maxPlacementSteps = 200_000

// placement rejects model groups whose copies don't fit into their eligible fabric
// domains, each group on its own and all groups together.
func (c *checker) placement() {
	if !c.hostCountsValid() {
		return
	}
	available := newCapacity(c.set.FabricDomains)
	var demands []demand
	for _, m := range c.set.ModelGroups {
		d, ok := c.demand(m)
		if !ok {
			continue
		}
		if n := available.copies(d); n < d.copies {
			c.add(Ref{KindModelGroup, m.Name}, "copies",
				"%d copies of %d hosts are requested, but the eligible fabric domains hold %d", d.copies, d.size, n)
			continue
		}
		demands = append(demands, d)
	}
	failed, short := available.findHostShortage(demands)
	if !short {
		failed, short = newPacking(demands, c.set.FabricDomains).infeasible()
	}
	if short {
		c.add(Ref{KindModelGroup, failed.group}, "copies",
			"%d copies of %d hosts don't fit into the fabric domains together with the other model groups", failed.copies, failed.size)
	}
}

// hostCountsValid reports whether the host counts of all fabric domains are valid. Invalid
// ones are reported elsewhere, and make the placement check impossible.
func (c *checker) hostCountsValid() bool {
	for _, f := range c.set.FabricDomains {
		if f.Hosts < 1 || f.Hosts > maxHosts || c.positions.unparsed(Ref{KindFabricDomain, f.Name}, "hosts") {
			return false
		}
	}
	return true
}

// demand returns the demand of a model group. It is false if a field that it needs is
// invalid, which is reported elsewhere.
func (c *checker) demand(m ModelGroup) (demand, bool) {
	for _, field := range []string{"copies", "hosts_per_group", "failure_domains"} {
		if c.positions.unparsed(Ref{KindModelGroup, m.Name}, field) {
			return demand{}, false
		}
	}
	d := demand{group: m.Name, copies: m.Copies, size: m.HostsPerGroup, failureDomains: slices.Clone(m.FailureDomains)}
	slices.Sort(d.failureDomains)
	for _, name := range d.failureDomains {
		if !c.known[Ref{KindFailureDomain, name}] {
			return d, false
		}
	}
	inRange := m.Copies >= 1 && m.Copies <= maxCopies && m.HostsPerGroup >= 1 && m.HostsPerGroup <= maxPerGroup
	return d, inRange
}

// packing searches for a placement of all copies together.
type packing struct {
	demands       []demand
	domains       []FabricDomain
	free          []int // hosts left in each fabric domain
	steps         int
	deepestDemand int // index of the last demand that the search reached
}

// newPacking orders the demands so that those hardest to place come first.
func newPacking(demands []demand, domains []FabricDomain) *packing {
	p := &packing{demands: slices.Clone(demands), domains: domains, free: make([]int, len(domains))}
	slices.SortStableFunc(p.demands, func(a, b demand) int {
		return cmp.Or(-cmp.Compare(a.size, b.size), cmp.Compare(a.domainCount(), b.domainCount()), cmp.Compare(a.group, b.group))
	})
	for i, f := range domains {
		p.free[i] = f.Hosts
	}
	return p
}

// infeasible reports whether a complete search found no placement, and returns the
// demand that it could not place.
func (p *packing) infeasible() (demand, bool) {
	if p.search(0, 0, 0) || p.steps > maxPlacementSteps {
		return demand{}, false
	}
	return p.demands[p.deepestDemand], true
}

// search places the copies of demand i into the fabric domains from j on, with placed
// copies of it already in earlier ones. It tries the largest count that fits first.
func (p *packing) search(i, j, placed int) bool {
	if i == len(p.demands) {
		return true
	}
	d := p.demands[i]
	if placed == d.copies {
		return p.search(i+1, 0, 0)
	}
	p.deepestDemand = max(p.deepestDemand, i)
	if j == len(p.domains) {
		return false
	}
	largest := 0
	if d.allows(p.domains[j]) {
		largest = min(p.free[j]/d.size, d.copies-placed)
	}
	for n := largest; n >= 0; n-- {
		p.steps++
		if p.steps > maxPlacementSteps {
			return false
		}
		p.free[j] -= n * d.size
		if p.search(i, j+1, placed+n) {
			return true
		}
		p.free[j] += n * d.size
	}
	return false
}
