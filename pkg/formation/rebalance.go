package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

const (
	// rebalancePause is the time between two groups that change their model:
	// the next choice must see the first one's effect.
	rebalancePause = 400 * time.Millisecond
	// rebalanceAfter is the time of traffic from which its mix can be trusted.
	rebalanceAfter = 1200 * time.Millisecond
	// rebalanceGain is the least gain for a change, in groups' worth of load:
	// it pays for the seconds in which the hosts serve nobody.
	rebalanceGain = 0.3
)

// exchange is some groups of a failure domain given up for others of a different
// model there.
type exchange struct {
	from []*group
	to   modelPlan
	n    int // groups won
	back int // groups of the same model that its other hosts can form
	gain float64
}

// rebalance gives up groups where their hosts, with the free ones of the domain,
// are worth more as another model's. Load: a mix that differs from the one that
// the hosts were divided for, and hosts that die and leave others of their group
// over.
func (p *Planner) rebalance(now time.Duration) {
	if !p.traffic || now-p.trafficSince < rebalanceAfter || now-p.cfg.StartedAt < adoptAfter || now-p.rebalanced < rebalancePause {
		return
	}
	best := exchange{gain: rebalanceGain}
	ms := p.models()
	have := p.groupCounts()
	fast := p.fastHosts(now)
	standing := p.standingByDomain()
	for _, domain := range slices.Sorted(maps.Keys(standing)) {
		for _, from := range ms {
			groups := standing[domain][from.Name]
			for k := 1; k <= min(len(groups), exchangeMost); k++ {
				for _, to := range ms {
					if to.Name == from.Name {
						continue
					}
					if x := p.exchange(groups[:k], from, to, have, fast[domain][to.Name]); x.gain > best.gain {
						best = x
					}
				}
			}
		}
	}
	for i, g := range best.from {
		g.drain(now, "its hosts are needed for "+best.to.Name)
		if i == 0 {
			g.gives = map[string]int{best.to.Name: best.n, g.model: best.back}
		}
		p.rebalanced = now
	}
}

// exchangeMost bounds the groups that are given up at once: enough for a group of
// four times their size.
const exchangeMost = 4

// standingByDomain returns the groups that may be given up, by failure domain of
// the fabric and model, the least busy first.
func (p *Planner) standingByDomain() map[string]map[string][]*group {
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
			slices.SortStableFunc(gs, func(a, b *group) int { return p.busy[a.head().ID] - p.busy[b.head().ID] })
		}
	}
	return standingGroups
}

// exchange rates giving up groups of one model for groups of another, where spare
// free hosts of the domain can serve that one at once.
func (p *Planner) exchange(groups []*group, from, to modelPlan, have map[string]int, spare int) exchange {
	able, hosts := 0, 0
	for _, g := range groups {
		hosts += len(g.members)
		for _, h := range g.members {
			if h.holds(to.Name) {
				able++
			}
		}
	}
	// Free hosts alone form groups without an exchange.
	n := (spare+able)/to.GroupSize - spare/to.GroupSize
	if n <= 0 {
		return exchange{}
	}
	// What is left of the groups' own hosts can serve their model again.
	used := min(max((spare/to.GroupSize+n)*to.GroupSize-spare, 0), hosts)
	back := (hosts - used) / from.GroupSize
	won := value(to, have[to.Name]+n) - value(to, have[to.Name])
	lost := value(from, have[from.Name]) - value(from, have[from.Name]-len(groups)+back)
	// A host is worth the same whichever model it serves.
	lost *= float64(from.GroupSize) / float64(to.GroupSize)
	return exchange{from: groups, to: to, n: n, back: back, gain: won - lost}
}

// fastHosts counts, by domain and model, the free hosts that can serve a model
// without a load.
func (p *Planner) fastHosts(now time.Duration) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, h := range p.hosts {
		if !p.free(now, h) {
			continue
		}
		if counts[h.FabricDomain] == nil {
			counts[h.FabricDomain] = map[string]int{}
		}
		for _, m := range p.service.Engine.Models {
			if h.last == m.Name || h.holds(m.Name) {
				counts[h.FabricDomain][m.Name]++
			}
		}
	}
	return counts
}

func planOf(ms []modelPlan, name string) (modelPlan, bool) {
	for _, m := range ms {
		if m.Name == name {
			return m, true
		}
	}
	return modelPlan{}, false
}

// groupCounts returns the groups of each model that serve or will.
func (p *Planner) groupCounts() map[string]int {
	have := map[string]int{}
	for _, g := range p.groups {
		if p.evacuated[g.head().Zone] {
			continue
		}
		if g.phase != retiring && g.phase != draining {
			have[g.model]++
		}
		// What was given up already for other groups must not be wanted again.
		for model, n := range g.gives {
			have[model] += n
		}
	}
	for _, h := range p.hosts {
		// Groups of a former leadership that are not taken over yet.
		if h.group == nil && h.IsOpenHead() && h.seated() && p.usable(h) && p.groups[h.Assignment.Epoch] == nil {
			have[fleet.ModelOf(h.Assignment.Group)]++
		}
	}
	return have
}
