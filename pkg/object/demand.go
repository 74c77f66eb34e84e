package object

import (
	"math"
	"slices"
)

// demand is what one model group asks of the fabric domains.
type demand struct {
	group  string
	copies int
	size   int      // hosts of one copy
	within []string // failure domains, sorted; empty means anywhere
}

func (d demand) allows(f FabricDomain) bool {
	if len(d.within) == 0 {
		return true
	}
	_, found := slices.BinarySearch(d.within, f.FailureDomain)
	return found
}

// spread counts the failure domains open to a demand.
func (d demand) spread() int {
	if len(d.within) == 0 {
		return math.MaxInt
	}
	return len(d.within)
}

// inside tells whether a demand may stand only where another may.
func (d demand) inside(bound []string) bool {
	if len(bound) == 0 {
		return true
	}
	if len(d.within) == 0 {
		return false
	}
	for _, name := range d.within {
		if _, found := slices.BinarySearch(bound, name); !found {
			return false
		}
	}
	return true
}
