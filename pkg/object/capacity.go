package object

import "strings"

// maxDomainSets bounds the number of distinct failure domain sets for which the
// requested hosts are compared with the available ones.
const maxDomainSets = 64

// copiesBySize is the number of copies that some fabric domains can hold, indexed by the hosts of
// one copy.
type copiesBySize [maxPerGroup + 1]int

func (r *copiesBySize) add(f FabricDomain) {
	for size := 1; size <= maxPerGroup; size++ {
		r[size] += max(f.Hosts, 0) / size
	}
}

// capacity is the number of copies that fit into each failure domain and into all of them.
type capacity struct {
	all      copiesBySize
	byDomain map[string]*copiesBySize
}

func newCapacity(domains []FabricDomain) *capacity {
	c := &capacity{byDomain: make(map[string]*copiesBySize)}
	for _, f := range domains {
		r := c.byDomain[f.FailureDomain]
		if r == nil {
			r = new(copiesBySize)
			c.byDomain[f.FailureDomain] = r
		}
		r.add(f)
		c.all.add(f)
	}
	return c
}

// copiesWithin returns how many copies of a size fit into the named failure domains; no names
// mean all of them.
func (c *capacity) copiesWithin(names []string, size int) int {
	if len(names) == 0 {
		return c.all[size]
	}
	n := 0
	for _, name := range names {
		if r := c.byDomain[name]; r != nil {
			n += r[size]
		}
	}
	return n
}

// copies returns how many copies of a demand fit if nothing else is placed.
func (c *capacity) copies(d demand) int { return c.copiesWithin(d.failureDomains, d.size) }

// findHostShortage compares the requested hosts with the available ones, for the whole
// deployment and for each set of failure domains that a demand names. It returns the
// first demand for which too few hosts are left.
func (c *capacity) findHostShortage(demands []demand) (demand, bool) {
	for _, domains := range domainSets(demands) {
		left := c.copiesWithin(domains, 1)
		for _, d := range demands {
			if !d.containedIn(domains) {
				continue
			}
			left -= d.copies * d.size
			if left < 0 {
				return d, true
			}
		}
	}
	return demand{}, false
}

// domainSets lists the distinct failure domain sets of the demands, starting with nil for
// the whole deployment.
func domainSets(demands []demand) [][]string {
	bounds := [][]string{nil}
	seen := map[string]bool{"": true}
	for _, d := range demands {
		key := strings.Join(d.failureDomains, ",")
		if seen[key] || len(bounds) == maxDomainSets {
			continue
		}
		seen[key] = true
		bounds = append(bounds, d.failureDomains)
	}
	return bounds
}
