package object

import "strings"

// maxBounds is the number of different choices of failure domains that are
// compared with each other.
const maxBounds = 64

// room is what some fabric domains hold: at index n the copies of n hosts.
type room [maxPerGroup + 1]int

func (r *room) add(f FabricDomain) {
	for size := 1; size <= maxPerGroup; size++ {
		r[size] += max(f.Hosts, 0) / size
	}
}

// capacity is the room of each failure domain and of all together.
type capacity struct {
	all      room
	byDomain map[string]*room
}

func newCapacity(domains []FabricDomain) *capacity {
	c := &capacity{byDomain: make(map[string]*room)}
	for _, f := range domains {
		r := c.byDomain[f.FailureDomain]
		if r == nil {
			r = new(room)
			c.byDomain[f.FailureDomain] = r
		}
		r.add(f)
		c.all.add(f)
	}
	return c
}

// within returns the copies of a size that fit into some failure domains.
func (c *capacity) within(names []string, size int) int {
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

// copies counts the copies of a demand that fit when nothing else stands there.
func (c *capacity) copies(d demand) int { return c.within(d.within, d.size) }

// shortOfHosts compares the hosts asked for with the hosts that there are, for
// the whole and for each choice of failure domains that a demand names. It
// returns the first demand for which none are left.
func (c *capacity) shortOfHosts(demands []demand) (demand, bool) {
	for _, bound := range boundsOf(demands) {
		left := c.within(bound, 1)
		for _, d := range demands {
			if !d.inside(bound) {
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

// boundsOf lists the different choices of failure domains, the whole first.
func boundsOf(demands []demand) [][]string {
	bounds := [][]string{nil}
	seen := map[string]bool{"": true}
	for _, d := range demands {
		key := strings.Join(d.within, ",")
		if seen[key] || len(bounds) == maxBounds {
			continue
		}
		seen[key] = true
		bounds = append(bounds, d.within)
	}
	return bounds
}
