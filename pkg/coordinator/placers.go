package coordinator

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

const (
	// placerAge is how long after its last sync an entry host is still given
	// requests to place: two of the longest waits between syncs.
	placerAge = 2 * time.Second
	// placersAfter is the age of a leadership from which it chooses placers: most
	// entry hosts have asked by then, and leaders choose alike.
	placersAfter = 500 * time.Millisecond
)

// candidate is an entry host that can place requests.
type candidate struct {
	name    string
	address string
}

// choosePlacers gives each model of an engine an entry host that places all of
// its requests. One that is chosen stays as long as it can; models are spread
// over the entry hosts where there are enough. Every leader chooses alike among
// the same entry hosts.
func choosePlacers(service *catalog.Service, now map[string]string, able []candidate) map[string]string {
	next := map[string]string{}
	if service == nil || service.Engine == nil || len(able) == 0 {
		return next
	}
	used := map[string]int{}
	for _, m := range service.Engine.Models {
		for _, c := range able {
			if c.address == now[m.Name] {
				next[m.Name] = c.address
				used[c.address]++
			}
		}
	}
	for _, m := range service.Engine.Models {
		if next[m.Name] != "" {
			continue
		}
		best := slices.MinFunc(able, func(a, b candidate) int {
			if used[a.address] != used[b.address] {
				return used[a.address] - used[b.address]
			}
			return cmp.Compare(rank(m.Name, a.name), rank(m.Name, b.name))
		})
		next[m.Name] = best.address
		used[best.address]++
	}
	return next
}

// rank orders entry hosts for a model, the same in every process.
func rank(model, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model + "/" + name))
	return h.Sum64()
}

// updatePlacers chooses anew when an entry host came or went. The caller holds
// the lock.
func (c *Coordinator) updatePlacers(now time.Duration, l *leadership) {
	if now-l.since < placersAfter {
		return
	}
	var able []candidate
	for name, p := range l.syncs {
		if p.last.PlacerAddress != "" && now-p.at < placerAge {
			able = append(able, candidate{name, p.last.PlacerAddress})
		}
	}
	next := choosePlacers(c.engineService(), l.placers, able)
	if l.placers != nil && maps.Equal(next, l.placers) {
		return
	}
	c.cfg.Logger.Info("placers chosen", "placers", next, "before", l.placers, "entry_hosts", len(able))
	l.placers = next
}
