package proxy

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// handOver finds a peer with permits for a call, at most one hop.
func (ch *chooser) handOver(c *call) (grant, bool) {
	if c.hop != "" {
		return grant{}, false
	}
	if c.trialGate != "" {
		return ch.toGate(c, c.trialGate)
	}
	weights := make(map[view.GateName]int)
	total := 0
	for i := range ch.places {
		if !inService(&ch.candidates[i]) || !c.mayUse(&ch.places[i]) {
			continue
		}
		for _, s := range ch.places[i].share.Gates {
			if s.Gate == ch.queue.proxy.config.Gate.Name || s.Permits == 0 || c.isRefused(s.Gate) {
				continue
			}
			weights[s.Gate] += s.Permits
			total += s.Permits
		}
	}
	if total == 0 {
		return grant{}, false
	}
	return ch.toGate(c, pickWeighted(weights, xxhash.Sum64String(c.id)%uint64(total)))
}

func pickWeighted(weights map[view.GateName]int, random uint64) view.GateName {
	names := make([]view.GateName, 0, len(weights))
	for g := range weights {
		names = append(names, g)
	}
	slices.Sort(names)
	for _, g := range names {
		if random < uint64(weights[g]) {
			return g
		}
		random -= uint64(weights[g])
	}
	return names[len(names)-1]
}

func (ch *chooser) toGate(c *call, name view.GateName) (grant, bool) {
	g, ok := ch.index.view.Gates.Get(name)
	if !ok || c.isRefused(name) {
		return grant{}, false
	}
	return grant{peer: &g}, true
}

// mayUse tells whether a group can serve the call, permits aside.
func (c *call) mayUse(at *place) bool {
	if c.version != "" && c.version != at.group.Version {
		return false
	}
	if c.adapter != "" && !slices.Contains(at.group.Adapters, c.adapter) {
		return false
	}
	return !c.isExcluded(at.target)
}
