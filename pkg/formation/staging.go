package formation

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// stagingOrders returns orders to copy weights to hosts. A host joins a group of its last model
// immediately and one of a staged model soon after, so each host is given the weights of a model
// other than its last and can then serve either.
func (p *Planner) stagingOrders(now time.Duration) []Order {
	ms := p.modelPlans()
	have := p.groupCounts()
	var orders []Order
	p.spareCache = nil // groups may have been exchanged since
	room := p.loadCapacity(now)
	if room == 0 {
		return nil
	}
	hosts := p.stagingCandidates(now)
	for ; room > 0; room-- {
		h, m := p.chooseLoad(now, hosts, ms, have)
		if h == nil {
			break
		}
		p.loadStarts = append(p.loadStarts, now)
		p.capableCache, p.spareCache = nil, nil
		h.stagingModel = m.Name // affects the next choice; corrected when the order completes
		h.stagingDue = now + p.loadTime(m.Name)
		orders = append(orders, p.newOrder(h, Order{Kind: Stage, Model: m.Name, Reason: "prepare the host to serve the model"}))
	}
	return orders
}

// chooseLoad returns the host and the model whose load has the highest score.
func (p *Planner) chooseLoad(now time.Duration, hosts []*host, ms []modelPlan, have map[string]int) (*host, modelPlan) {
	var best *host
	var bestModel modelPlan
	bestScore := 0.0
	for _, h := range hosts {
		if h.openOrder != nil || h.stagingModel != "" {
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

// loadScore rates loading a model's weights on a host. 0 means that it should not be done.
func (p *Planner) loadScore(now time.Duration, h *host, m modelPlan, ms []modelPlan, have map[string]int) float64 {
	if m.GroupSize <= 0 || m.Name == h.lastModel || h.hasWeights(m.Name) {
		return 0
	}
	score := p.weightsScore(h, m, have)
	switch {
	case len(h.StagedModels) == 0 && h.lastModel == "":
		return emptyHostFactor * score
	case h.lastModel != "" && (len(h.StagedModels) == 0 || h.hasWeights(h.lastModel)):
		own, known := findPlan(ms, h.lastModel)
		if !known || h.group == nil {
			return score
		}
		if marginalGain(own, have[own.Name]) >= marginalGain(m, have[m.Name]) {
			if !p.hasRedundantWeights(h) {
				return 0
			}
			return secondModelFactor * score
		}
		return score
	}
	// The load replaces weights that can't be used at present.
	if h.group != nil || now-h.freeSince < strandedDelay {
		return 0
	}
	for _, own := range ms {
		if h.hasWeights(own.Name) && score < restageRatio*p.weightsScore(h, own, have) {
			return 0
		}
	}
	return score
}

const (
	// emptyHostFactor multiplies the score of a load on a host without weights.
	emptyHostFactor = 1.5
	// secondModelFactor multiplies the score of a load on a serving host, whose second model may
	// become useful later.
	secondModelFactor = 0.1
	// restageRatio is how many times better new weights must be than those on the host: a load
	// occupies the weight store for half a minute.
	restageRatio = 2.5
	// strandedDelay is how long an available host keeps weights of which its domain has too few
	// copies for a group: longer than a repair, shorter than a load.
	strandedDelay = 3 * time.Second
)

// weightsScore rates the presence of a model's weights on a host, as part of the next group or as a
// spare.
func (p *Planner) weightsScore(h *host, m modelPlan, have map[string]int) float64 {
	return max(p.nextGroupScore(h, m, have), p.spareScore(h, m, have))
}

// nextGroupScore returns the gain of a model's next group, scaled by the share of the group that
// the host's domain has including this host.
func (p *Planner) nextGroupScore(h *host, m modelPlan, have map[string]int) float64 {
	count := p.capableHosts(h.FabricDomain, m.Name)
	if p.couldServe(h, m.Name) && count > 0 {
		count--
	}
	part := float64(count%m.GroupSize+1) / float64(m.GroupSize)
	return marginalGain(m, have[m.Name]+count/m.GroupSize) * part * part
}

// spareScore rates weights on an available host that can replace a failed member. It depends on the
// gain of a group of the model, the size of its groups, their number in the domain, and the spares
// that the domain already has.
func (p *Planner) spareScore(h *host, m modelPlan, have map[string]int) float64 {
	if h.group != nil {
		return 0
	}
	at := p.spareCountOf(h.FabricDomain, m.Name)
	if p.couldServe(h, m.Name) {
		at.spares--
	}
	largest := 0
	for _, o := range p.service.Engine.Models {
		largest = max(largest, o.GroupSize)
	}
	lost := marginalGain(m, max(have[m.Name]-1, 0))
	size := float64(m.GroupSize) / float64(largest) // squared: hosts that can fail, and hosts that then idle
	return spareFactor * lost * float64(at.groups) / float64(1+at.spares) * size * size
}

// spareCount holds the groups of a model in a failure domain that can lose a host, and the
// available hosts that could replace it.
type spareCount struct{ groups, spares int }

// spareCountOf counts a model's groups and spares in a domain.
func (p *Planner) spareCountOf(domain, model string) spareCount {
	if p.spareCache == nil {
		p.spareCache = map[domainModel]spareCount{}
		for _, g := range p.groups {
			if g.phase != draining && g.phase != retiring {
				at := domainModel{g.head().FabricDomain, g.model}
				c := p.spareCache[at]
				c.groups++
				p.spareCache[at] = c
			}
		}
		for _, h := range p.hosts {
			for _, m := range p.service.Engine.Models {
				if h.group == nil && p.couldServe(h, m.Name) {
					at := domainModel{h.FabricDomain, m.Name}
					c := p.spareCache[at]
					c.spares++
					p.spareCache[at] = c
				}
			}
		}
	}
	return p.spareCache[domainModel{domain, model}]
}

// spareFactor is the value of a spare relative to a host that completes a group: some of the groups
// of a domain lose a host before its next load completes.
const spareFactor = 0.5

// domainModel is a pair of a failure domain and a model.
type domainModel struct{ domain, model string }

// capableHosts counts the hosts of a domain that could serve a model: available ones, and those of
// groups that are worth less than another group of the model.
func (p *Planner) capableHosts(domain, model string) int {
	if p.capableCache == nil {
		p.capableCache = map[domainModel]int{}
		ms := p.modelPlans()
		have := p.groupCounts()
		for _, h := range p.hosts {
			for _, m := range ms {
				if p.couldServe(h, m.Name) && p.mayReassign(h, m, ms, have) {
					p.capableCache[domainModel{h.FabricDomain, m.Name}]++
				}
			}
		}
	}
	return p.capableCache[domainModel{domain, model}]
}

// mayReassign reports whether a host has no serving group, or its group may be exchanged for one of
// the given model.
func (p *Planner) mayReassign(h *host, m modelPlan, ms []modelPlan, have map[string]int) bool {
	if h.group == nil || h.group.phase != standing {
		return true
	}
	own, known := findPlan(ms, h.group.model)
	return !known || marginalGain(own, max(have[own.Name]-1, 0)) < marginalGain(m, have[m.Name])
}

// couldServe reports whether a host that is idle, or serves another model, can serve a model
// without a further load.
func (p *Planner) couldServe(h *host, model string) bool {
	if !p.usable(h) {
		return false
	}
	if g := h.group; g != nil && (g.phase == forming || g.phase == opening || g.phase == standing && g.model == model) {
		return false
	}
	return h.lastModel == model || p.modelOnDisk(h) == model
}

// stagingCandidates returns the hosts on which other weights may be loaded.
func (p *Planner) stagingCandidates(now time.Duration) []*host {
	var hs []*host
	for _, h := range p.hostsByID() {
		if h.stagingModel != "" && now >= h.stagingDue+stagingSlack {
			h.stagingModel = "" // the host did not report the weights in time
		}
		if h.State != fleet.Ready || !p.announced(h) || !canOrder(now, h) || h.stagingModel != "" || now-h.lastAnnouncement > HostSilenceTimeout || p.evacuated[h.Zone] {
			continue
		}
		if h.group == nil && !h.inGroup() || h.group != nil && h.group.phase == standing {
			hs = append(hs, h)
		}
	}
	return hs
}

// hasRedundantWeights reports whether a host's weights may be replaced: enough other hosts of its
// domain have them on disk to form a group after a restart.
func (p *Planner) hasRedundantWeights(h *host) bool {
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
		if other != h && other.FabricDomain == h.FabricDomain && p.usable(other) && p.modelOnDisk(other) == own {
			copies++
		}
	}
	return copies >= m.GroupSize
}

// modelOnDisk returns the model whose weights are on a host's disk or are being loaded.
func (p *Planner) modelOnDisk(h *host) string {
	if h.stagingModel != "" {
		return h.stagingModel
	}
	if len(h.StagedModels) > 0 {
		return h.StagedModels[len(h.StagedModels)-1]
	}
	return ""
}

// stagingSlack is added to the expected time of a load, which concurrent loads can slow down.
const stagingSlack = 10 * time.Second

// loadCapacity returns how many loads may start now. Before requests arrive loads are fast and
// unlimited.
func (p *Planner) loadCapacity(now time.Duration) int {
	if !p.traffic {
		return len(p.hosts)
	}
	e := p.service.Engine
	kept := p.loadStarts[:0]
	for _, t := range p.loadStarts {
		if now-t < p.cfg.LoadWindow {
			kept = append(kept, t)
		}
	}
	p.loadStarts = kept
	allowed := int(e.LoadsPerS * p.cfg.LoadWindow.Seconds() * loadCeilingShare)
	running := 0
	for _, h := range p.hosts {
		if h.stagingModel != "" && now < h.stagingDue {
			running++
		}
	}
	return max(min(allowed-len(p.loadStarts), e.ConcurrentLoads-running), 0)
}
