package proxy

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// handOver selects a peer that has permits for a call, weighted by their number. A call is
// handed over at most once.
func (ch *chooser) handOver(c *call) (grant, bool) {
	if c.handedOverBy != "" {
		return grant{}, false
	}
	if c.trialGate != "" {
		return ch.grantPeer(c, c.trialGate)
	}
	weights := make(map[view.GateName]int)
	total := 0
	for i := range ch.destinations {
		if !inService(&ch.candidates[i]) || !c.canUse(&ch.destinations[i]) {
			continue
		}
		for _, s := range ch.destinations[i].share.Gates {
			if s.Gate == ch.queue.proxy.config.Gate.Name || s.Permits == 0 || c.isPeerExcluded(s.Gate) {
				continue
			}
			weights[s.Gate] += s.Permits
			total += s.Permits
		}
	}
	if total == 0 {
		return grant{}, false
	}
	return ch.grantPeer(c, pickWeighted(weights, xxhash.Sum64String(c.id)%uint64(total)))
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

func (ch *chooser) grantPeer(c *call, name view.GateName) (grant, bool) {
	g, ok := ch.index.view.Gates.Get(name)
	if !ok || c.isPeerExcluded(name) {
		return grant{}, false
	}
	return grant{peer: &g}, true
}

// canUse reports whether a group can serve the call, regardless of permits.
func (c *call) canUse(dst *destination) bool {
	if c.version != "" && c.version != dst.group.Version {
		return false
	}
	if c.adapter != "" && !slices.Contains(dst.group.Adapters, c.adapter) {
		return false
	}
	return !c.isTargetExcluded(dst.target)
}
