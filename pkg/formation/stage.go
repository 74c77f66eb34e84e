package formation

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// stage copies weights to hosts. A host joins a group of the model of its last
// group at once, and one of a staged model soon; so each host is given the
// weights of a model other than its last group's and can serve either.
func (p *Planner) stage(now time.Duration) []Order {
	ms := p.models()
	have := p.groupCounts()
	var orders []Order
	p.spares = nil // groups may have been given up since
	room := p.loadRoom(now)
	if room == 0 {
		return nil
	}
	hosts := p.stageable(now)
	for ; room > 0; room-- {
		h, m := p.bestLoad(now, hosts, ms, have)
		if h == nil {
			break
		}
		p.loads = append(p.loads, now)
		p.capable, p.spares = nil, nil
		h.staging = m.Name // counts for the next choice; the order's end corrects it
		h.stagedBy = now + p.loadTime(m.Name)
		orders = append(orders, p.order(h, Order{Kind: Stage, Model: m.Name, Reason: "so that the host can serve it soon"}))
	}
	return orders
}

// bestLoad returns the host and model whose load is worth most.
func (p *Planner) bestLoad(now time.Duration, hosts []*host, ms []modelPlan, have map[string]int) (*host, modelPlan) {
	var best *host
	var bestModel modelPlan
	bestScore := 0.0
	for _, h := range hosts {
		if h.order != nil || h.staging != "" {
			continue
		}
		for _, m := range ms {
			if score := p.loadScore(now, h, m, ms, have); score > bestScore {
				best, bestModel, bestScore = h, m, score
			}
		}
	}
	return best, bestModel
}

// loadScore rates a load: the gain of the model's next group, by the part of
// that group's hosts that the domain then has.
func (p *Planner) loadScore(now time.Duration, h *host, m modelPlan, ms []modelPlan, have map[string]int) float64 {
	if m.GroupSize <= 0 || m.Name == h.last || h.holds(m.Name) {
		return 0
	}
	score := p.weightsScore(h, m, have)
	switch {
	case len(h.StagedModels) == 0 && h.last == "":
		return emptyGain * score
	case h.last != "" && (len(h.StagedModels) == 0 || h.holds(h.last)):
		own, known := planOf(ms, h.last)
		if !known || h.group == nil {
			return score
		}
		if gain(own, have[own.Name]) >= gain(m, have[m.Name]) {
			if !p.spareCopy(h) {
				return 0
			}
			return secondGain * score
		}
		return score
	}
	// The load takes the place of weights that are of no use now.
	if h.group != nil || now-h.freeSince < strandedAfter {
		return 0
	}
	for _, own := range ms {
		if h.holds(own.Name) && score < restageGain*p.weightsScore(h, own, have) {
			return 0
		}
	}
	return score
}

const (
	// emptyGain is how much more a load on a host without weights is worth.
	emptyGain = 1.5
	// secondGain is the same for a host that serves, and whose second weights
	// may be of use later.
	secondGain = 0.1
	// restageGain is how much better weights must be than those that a host has:
	// a load takes half a minute's work of the weight store.
	restageGain = 2.5
	// strandedAfter is how long a free host keeps weights of which its domain has
	// too few copies: longer than a repair, shorter than a load.
	strandedAfter = 3 * time.Second
)

// weightsScore rates a model's weights on a host: as a part of the next group, or
// as a spare.
func (p *Planner) weightsScore(h *host, m modelPlan, have map[string]int) float64 {
	return max(p.partScore(h, m, have), p.spareScore(h, m, have))
}

// partScore is the gain of a model's next group by the part of it that a
// host's domain has with that host.
func (p *Planner) partScore(h *host, m modelPlan, have map[string]int) float64 {
	count := p.capableIn(h.FabricDomain, m.Name)
	if p.couldServe(h, m.Name) && count > 0 {
		count--
	}
	part := float64(count%m.GroupSize+1) / float64(m.GroupSize)
	return gain(m, have[m.Name]+count/m.GroupSize) * part * part
}

// spareScore is the worth of weights on a free host that can take the place of
// one that dies: what a group of the model gains, by the size of its groups, their
// number in the domain, and how many hosts are there for that already.
func (p *Planner) spareScore(h *host, m modelPlan, have map[string]int) float64 {
	if h.group != nil {
		return 0
	}
	at := p.spareAt(h.FabricDomain, m.Name)
	if p.couldServe(h, m.Name) {
		at.spares--
	}
	largest := 0
	for _, o := range p.service.Engine.Models {
		largest = max(largest, o.GroupSize)
	}
	lost := gain(m, max(have[m.Name]-1, 0))
	size := float64(m.GroupSize) / float64(largest) // how many hosts can be struck, and how many are then idle
	return spareGain * lost * float64(at.groups) / float64(1+at.spares) * size * size
}

// spareCount is what a failure domain has of a model: groups that can lose a host,
// and free hosts that could take its place.
type spareCount struct{ groups, spares int }

// spareAt counts a model's groups and spares in a domain.
func (p *Planner) spareAt(domain, model string) spareCount {
	if p.spares == nil {
		p.spares = map[place]spareCount{}
		for _, g := range p.groups {
			if g.phase != draining && g.phase != retiring {
				at := place{g.head().FabricDomain, g.model}
				c := p.spares[at]
				c.groups++
				p.spares[at] = c
			}
		}
		for _, h := range p.hosts {
			for _, m := range p.service.Engine.Models {
				if h.group == nil && p.couldServe(h, m.Name) {
					at := place{h.FabricDomain, m.Name}
					c := p.spares[at]
					c.spares++
					p.spares[at] = c
				}
			}
		}
	}
	return p.spares[place{domain, model}]
}

// spareGain is what a spare is worth against a host that completes a group: some
// of the groups of a domain lose a host before the next load there is over.
const spareGain = 0.5

// place is a failure domain and a model.
type place struct{ domain, model string }

// capableIn counts the hosts of a domain that could serve a model: free ones, and
// those of groups that are worth less than one more of the model's.
func (p *Planner) capableIn(domain, model string) int {
	if p.capable == nil {
		p.capable = map[place]int{}
		ms := p.models()
		have := p.groupCounts()
		for _, h := range p.hosts {
			for _, m := range ms {
				if p.couldServe(h, m.Name) && p.mayGiveUp(h, m, ms, have) {
					p.capable[place{h.FabricDomain, m.Name}]++
				}
			}
		}
	}
	return p.capable[place{domain, model}]
}

// mayGiveUp tells whether a host's group, if it is in one, may be given up for one
// of another model.
func (p *Planner) mayGiveUp(h *host, m modelPlan, ms []modelPlan, have map[string]int) bool {
	if h.group == nil || h.group.phase != standing {
		return true
	}
	own, known := planOf(ms, h.group.model)
	return !known || gain(own, max(have[own.Name]-1, 0)) < gain(m, have[m.Name])
}

// couldServe tells whether a host that serves nothing, or another model, can
// serve a model without a further load.
func (p *Planner) couldServe(h *host, model string) bool {
	if !p.usable(h) {
		return false
	}
	if g := h.group; g != nil && (g.phase == forming || g.phase == opening || g.phase == standing && g.model == model) {
		return false
	}
	return h.last == model || p.onDisk(h) == model
}

// stageable returns the hosts that may get other weights.
func (p *Planner) stageable(now time.Duration) []*host {
	var hs []*host
	for _, h := range p.sorted() {
		if h.staging != "" && now >= h.stagedBy+stageSlack {
			h.staging = "" // it did not report the weights in time
		}
		if h.State != fleet.Ready || !p.met(h) || !mayOrder(now, h) || h.staging != "" || now-h.heard > HostSilenceTimeout || p.evacuated[h.Zone] {
			continue
		}
		if h.group == nil && !h.seated() || h.group != nil && h.group.phase == standing {
			hs = append(hs, h)
		}
	}
	return hs
}

// spareCopy tells whether a host's weights may be replaced: enough others of
// its domain keep them through a restart to form a group.
func (p *Planner) spareCopy(h *host) bool {
	if len(h.StagedModels) == 0 {
		return true
	}
	own := h.StagedModels[len(h.StagedModels)-1]
	m, known := p.service.Engine.Model(own)
	if !known {
		return true
	}
	copies := 0
	for _, other := range p.hosts {
		if other != h && other.FabricDomain == h.FabricDomain && p.usable(other) && p.onDisk(other) == own {
			copies++
		}
	}
	return copies >= m.GroupSize
}

// onDisk returns the model that a host has on its disk or is getting.
func (p *Planner) onDisk(h *host) string {
	if h.staging != "" {
		return h.staging
	}
	if len(h.StagedModels) > 0 {
		return h.StagedModels[len(h.StagedModels)-1]
	}
	return ""
}

// stageSlack is added to the time of a load that others slow down.
const stageSlack = 10 * time.Second

// loadRoom returns how many loads may start now. Before requests come loads
// are quick and not bounded.
func (p *Planner) loadRoom(now time.Duration) int {
	if !p.traffic {
		return len(p.hosts)
	}
	e := p.service.Engine
	kept := p.loads[:0]
	for _, t := range p.loads {
		if now-t < p.cfg.LoadWindow {
			kept = append(kept, t)
		}
	}
	p.loads = kept
	allowed := int(e.LoadsPerS * p.cfg.LoadWindow.Seconds() * loadShare)
	running := 0
	for _, h := range p.hosts {
		if h.staging != "" && now < h.stagedBy {
			running++
		}
	}
	return max(min(allowed-len(p.loads), e.ConcurrentLoads-running), 0)
}
