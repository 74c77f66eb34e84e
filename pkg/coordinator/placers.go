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
	// placerTimeout is how long after its last sync an entry host remains eligible as a placer:
	// twice the longest time between syncs.
	placerTimeout = 2 * time.Second
	// placerChoiceDelay is the age of a leadership from which it chooses placers. By then most
	// entry hosts have synced, so that successive leaders choose alike.
	placerChoiceDelay = 500 * time.Millisecond
)

// placerCandidate is an entry host that can place requests.
type placerCandidate struct {
	name    string
	address string
}

// choosePlacers assigns each model of an engine service the entry host that places all of its
// requests. Existing assignments are kept while their entry host is eligible, and models are spread
// over the entry hosts. Given the same entry hosts, all leaders choose alike.
func choosePlacers(service *catalog.Service, current map[string]string, eligible []placerCandidate) map[string]string {
	next := map[string]string{}
	if service == nil || service.Engine == nil || len(eligible) == 0 {
		return next
	}
	used := map[string]int{}
	for _, m := range service.Engine.Models {
		for _, c := range eligible {
			if c.address == current[m.Name] {
				next[m.Name] = c.address
				used[c.address]++
			}
		}
	}
	for _, m := range service.Engine.Models {
		if next[m.Name] != "" {
			continue
		}
		best := slices.MinFunc(eligible, func(a, b placerCandidate) int {
			if used[a.address] != used[b.address] {
				return used[a.address] - used[b.address]
			}
			return cmp.Compare(placerRank(m.Name, a.name), placerRank(m.Name, b.name))
		})
		next[m.Name] = best.address
		used[best.address]++
	}
	return next
}

// placerRank orders entry hosts for a model identically in all processes.
func placerRank(model, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model + "/" + name))
	return h.Sum64()
}

// updatePlacers reassigns placers when the set of eligible entry hosts changed. The caller holds
// the lock.
func (c *Coordinator) updatePlacers(now time.Duration, l *leadership) {
	if now-l.since < placerChoiceDelay {
		return
	}
	var eligible []placerCandidate
	for name, p := range l.processes {
		if p.request.PlacerAddress != "" && now-p.receivedAt < placerTimeout {
			eligible = append(eligible, placerCandidate{name, p.request.PlacerAddress})
		}
	}
	next := choosePlacers(c.engineService(), l.placers, eligible)
	if l.placers != nil && maps.Equal(next, l.placers) {
		return
	}
	c.cfg.Logger.Info("placers chosen", "placers", next, "before", l.placers, "entry_hosts", len(eligible))
	l.placers = next
}
