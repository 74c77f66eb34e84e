package formation

import (
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
	rebalanceGain = 0.12
)

// exchange is one group given up for another of a different model in the same
// failure domain.
type exchange struct {
	from *group
	to   modelPlan
	n    int // groups won
	back int // groups of the same model that its other hosts can form
	gain float64
}

// rebalance gives up a group where its hosts, with the free ones of the
// domain, are worth more as another model's. Load: a mix that differs from the
// one that the hosts were divided for, and hosts that die and leave others of
// their group over.
func (p *Planner) rebalance(now time.Duration) {
	if !p.traffic || now-p.trafficSince < rebalanceAfter || now-p.cfg.Now < adoptAfter || now-p.rebalanced < rebalancePause {
		return
	}
	best := exchange{gain: rebalanceGain}
	ms := p.models()
	have := p.groupCounts()
	fast := p.fastHosts(now)
	for _, g := range p.sortedGroups() {
		if g.phase != standing || p.evacuated[g.head().Zone] {
			continue
		}
		from, known := planOf(ms, g.model)
		if !known {
			continue
		}
		for _, to := range ms {
			if to.Name == g.model {
				continue
			}
			if x := p.exchange(g, from, to, have, fast); x.gain > best.gain {
				best = x
			}
		}
	}
	if best.from == nil {
		return
	}
	best.from.drain(now, "its hosts are needed for "+best.to.Name)
	best.from.gives = map[string]int{best.to.Name: best.n, best.from.model: best.back}
	p.rebalanced = now
}

// exchange rates giving up a group for groups of another model.
func (p *Planner) exchange(g *group, from, to modelPlan, have map[string]int, fast map[string]map[string]int) exchange {
	domain := g.head().Domain
	able := 0
	for _, h := range g.members {
		if h.holds(to.Name) {
			able++
		}
	}
	spare := fast[domain][to.Name]
	n := (spare + able) / to.GroupSize
	if n == 0 {
		return exchange{}
	}
	// Free hosts alone form groups without an exchange.
	n -= spare / to.GroupSize
	if n <= 0 {
		return exchange{}
	}
	// What is left of the group's own hosts can serve its model again.
	used := min(max(n*to.GroupSize-spare, 0), len(g.members))
	back := (len(g.members) - used) / from.GroupSize
	won := value(to, have[to.Name]+n) - value(to, have[to.Name])
	lost := value(from, have[from.Name]) - value(from, have[from.Name]-1+back)
	return exchange{from: g, to: to, n: n, back: back, gain: won - lost}
}

// fastHosts counts, by domain and model, the free hosts that can serve a model
// without a load.
func (p *Planner) fastHosts(now time.Duration) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, h := range p.hosts {
		if !p.free(now, h) {
			continue
		}
		if counts[h.Domain] == nil {
			counts[h.Domain] = map[string]int{}
		}
		for _, m := range p.service.Engine.Models {
			if h.last == m.Name || h.holds(m.Name) {
				counts[h.Domain][m.Name]++
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
		if h.group == nil && h.Leads() && h.seated() && p.usable(h) && p.groups[h.Seat.Epoch] == nil {
			have[fleet.ModelOf(h.Seat.Group)]++
		}
	}
	return have
}
