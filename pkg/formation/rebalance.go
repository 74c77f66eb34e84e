package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

const (
	// rebalanceInterval is the minimum time between exchanges, so that a decision takes the effect
	// of the previous one into account.
	rebalanceInterval = 400 * time.Millisecond
	// rebalanceTrafficAge is the duration of traffic after which its mix is reliable.
	rebalanceTrafficAge = 1200 * time.Millisecond
	// minRebalanceGain is the minimum gain of an exchange, in units of a group's load. It offsets
	// the seconds during which the hosts do not serve.
	minRebalanceGain = 0.3
)

// exchange replaces groups of one model in a failure domain by groups of another.
type exchange struct {
	from     []*group
	to       modelPlan
	formed   int // groups of the new model
	reformed int // groups of the old model that the remaining hosts can form
	gain     float64
}

// rebalance drains groups whose hosts, together with available hosts of the domain, are worth more
// in groups of another model. This happens when the mix of requests differs from the one for which
// groups were formed, or when host failures leave members of broken groups idle.
func (p *Planner) rebalance(now time.Duration) {
	if !p.traffic || now-p.trafficSince < rebalanceTrafficAge || now-p.cfg.StartedAt < adoptDelay || now-p.rebalancedAt < rebalanceInterval {
		return
	}
	best := exchange{gain: minRebalanceGain}
	ms := p.modelPlans()
	have := p.groupCounts()
	ready := p.hostsWithWeights(now)
	standing := p.exchangeCandidates()
	for _, domain := range slices.Sorted(maps.Keys(standing)) {
		for _, from := range ms {
			groups := standing[domain][from.Name]
			for k := 1; k <= min(len(groups), maxExchangedGroups); k++ {
				for _, to := range ms {
					if to.Name == from.Name {
						continue
					}
					if x := p.evaluateExchange(groups[:k], from, to, have, ready[domain][to.Name]); x.gain > best.gain {
						best = x
					}
				}
			}
		}
	}
	for i, g := range best.from {
		g.startDraining(now, "hosts are needed for "+best.to.Name)
		if i == 0 {
			g.plannedGroups = map[string]int{best.to.Name: best.formed, g.model: best.reformed}
		}
		p.rebalancedAt = now
	}
}

// maxExchangedGroups bounds the groups that are exchanged at once: enough for one group of four
// times their size.
const maxExchangedGroups = 4

// exchangeCandidates returns the standing groups by fabric domain and model, the least busy first.
func (p *Planner) exchangeCandidates() map[string]map[string][]*group {
	standingGroups := map[string]map[string][]*group{}
	for _, g := range p.sortedGroups() {
		if g.phase != standing || p.evacuated[g.head().Zone] {
			continue
		}
		domain := g.head().FabricDomain
		if standingGroups[domain] == nil {
			standingGroups[domain] = map[string][]*group{}
		}
		standingGroups[domain][g.model] = append(standingGroups[domain][g.model], g)
	}
	for _, byModel := range standingGroups {
		for _, gs := range byModel {
			slices.SortStableFunc(gs, func(a, b *group) int { return p.runningRequests[a.head().ID] - p.runningRequests[b.head().ID] })
		}
	}
	return standingGroups
}

// evaluateExchange returns the gain of replacing groups of one model by groups of another, where
// spare available hosts of the domain have the weights of the other model.
func (p *Planner) evaluateExchange(groups []*group, from, to modelPlan, have map[string]int, spare int) exchange {
	withWeights, hosts := 0, 0
	for _, g := range groups {
		hosts += len(g.members)
		for _, h := range g.members {
			if h.hasWeights(to.Name) {
				withWeights++
			}
		}
	}
	// Groups that available hosts can form on their own do not count.
	n := (spare+withWeights)/to.GroupSize - spare/to.GroupSize
	if n <= 0 {
		return exchange{}
	}
	// The remaining hosts of the groups can form groups of their model again.
	used := min(max((spare/to.GroupSize+n)*to.GroupSize-spare, 0), hosts)
	back := (hosts - used) / from.GroupSize
	won := groupsValue(to, have[to.Name]+n) - groupsValue(to, have[to.Name])
	lost := groupsValue(from, have[from.Name]) - groupsValue(from, have[from.Name]-len(groups)+back)
	// A host is worth the same in either model: convert the loss to groups of the other model.
	lost *= float64(from.GroupSize) / float64(to.GroupSize)
	return exchange{from: groups, to: to, formed: n, reformed: back, gain: won - lost}
}

// hostsWithWeights counts, by domain and model, the available hosts that can serve a model without
// a load.
func (p *Planner) hostsWithWeights(now time.Duration) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, h := range p.hosts {
		if !p.available(now, h) {
			continue
		}
		if counts[h.FabricDomain] == nil {
			counts[h.FabricDomain] = map[string]int{}
		}
		for _, m := range p.service.Engine.Models {
			if h.lastModel == m.Name || h.hasWeights(m.Name) {
				counts[h.FabricDomain][m.Name]++
			}
		}
	}
	return counts
}

func findPlan(ms []modelPlan, name string) (modelPlan, bool) {
	for _, m := range ms {
		if m.Name == name {
			return m, true
		}
	}
	return modelPlan{}, false
}

// groupCounts returns the number of groups of each model that serve or will serve.
func (p *Planner) groupCounts() map[string]int {
	have := map[string]int{}
	for _, g := range p.groups {
		if p.evacuated[g.head().Zone] {
			continue
		}
		if g.phase != retiring && g.phase != draining {
			have[g.model]++
		}
		// Count the groups that the hosts of an exchanged group will form, so that no further group
		// is exchanged for them.
		for model, n := range g.plannedGroups {
			have[model] += n
		}
	}
	for _, h := range p.hosts {
		// Groups of a former leadership that have not been adopted yet.
		if h.group == nil && h.IsOpenHead() && h.inGroup() && p.usable(h) && p.groups[h.Assignment.Epoch] == nil {
			have[fleet.ModelOf(h.Assignment.Group)]++
		}
	}
	return have
}
