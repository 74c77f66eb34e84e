package object

import (
	"math"
	"slices"
)

// demand is the number and size of copies that one model group requests.
type demand struct {
	group          string
	copies         int
	size           int      // hosts per copy
	failureDomains []string // sorted; empty means any
}

func (d demand) allows(f FabricDomain) bool {
	if len(d.failureDomains) == 0 {
		return true
	}
	_, found := slices.BinarySearch(d.failureDomains, f.FailureDomain)
	return found
}

// domainCount returns the number of failure domains in which a demand may be placed.
func (d demand) domainCount() int {
	if len(d.failureDomains) == 0 {
		return math.MaxInt
	}
	return len(d.failureDomains)
}

// containedIn reports whether a demand can be placed only in the given failure domains; an
// empty list means all of them.
func (d demand) containedIn(domains []string) bool {
	if len(domains) == 0 {
		return true
	}
	if len(d.failureDomains) == 0 {
		return false
	}
	for _, name := range d.failureDomains {
		if _, found := slices.BinarySearch(domains, name); !found {
			return false
		}
	}
	return true
}
