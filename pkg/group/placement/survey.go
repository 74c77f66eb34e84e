package placement

import "maps"

// Domain is one fabric domain.
type Domain struct {
	Name          string
	FailureDomain string
	Free          int // hosts that may get a role
}

// Inventory is what there is of hosts and groups for one model.
type Inventory struct {
	domains []Domain
	groups  map[string]int // by failure domain
}

// NewInventory returns a survey without hosts. groups counts the model's groups
// by failure domain.
func NewInventory(groups map[string]int) *Inventory {
	s := &Inventory{groups: make(map[string]int)}
	maps.Copy(s.groups, groups)
	return s
}

// Add adds a fabric domain.
func (s *Inventory) Add(d Domain) { s.domains = append(s.domains, d) }

// Choose gives the fabric domain for the next group and counts it as taken.
// Domains that keep their spares come first, then those in failure domains
// with few groups, then those with many free hosts.
func (s *Inventory) Choose(hosts, spares int) (string, bool) {
	best := -1
	for i, d := range s.domains {
		if d.Free < hosts {
			continue
		}
		if best < 0 || s.before(d, s.domains[best], hosts+spares) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	d := &s.domains[best]
	d.Free -= hosts
	s.groups[d.FailureDomain]++
	return d.Name, true
}

func (s *Inventory) before(a, b Domain, roomy int) bool {
	if ra, rb := a.Free >= roomy, b.Free >= roomy; ra != rb {
		return ra
	}
	if ga, gb := s.groups[a.FailureDomain], s.groups[b.FailureDomain]; ga != gb {
		return ga < gb
	}
	if a.Free != b.Free {
		return a.Free > b.Free
	}
	return a.Name < b.Name
}
