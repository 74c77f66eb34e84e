package formation

import (
	"sort"
	"time"
)

// stage copies weights to free hosts that have none in use: to the domain and
// model first that lack the fewest hosts for a whole group.
func (p *Planner) stage(now time.Duration) []Order {
	if !p.traffic {
		return nil
	}
	var orders []Order
	ms := p.models()
	room := p.loadRoom(now)
	for _, hs := range p.freeByDomain(now) {
		for _, h := range p.unstaged(now, hs) {
			if room <= 0 {
				return orders
			}
			m, ok := p.bestToStage(hs, ms)
			if !ok || h.holds(m.Name) || !mayOrder(now, h) {
				continue
			}
			room--
			p.loads = append(p.loads, now)
			h.staging = m.Name // counts for the next choice; cleared below if refused
			h.stagedBy = now + m.LoadTime
			orders = append(orders, p.order(h, Order{Kind: Stage, Model: m.Name, Reason: "spare host without weights"}))
		}
	}
	return orders
}

// unstaged returns the free hosts without weights, and those whose weights
// have been of no use for a while.
func (p *Planner) unstaged(now time.Duration, hs []*host) []*host {
	var us []*host
	for _, h := range hs {
		if h.staging != "" && now >= h.stagedBy+formSlack {
			h.staging = "" // it did not report the weights in time
		}
		if h.staging != "" || h.order != nil {
			continue
		}
		if len(h.Staged) == 0 || now-h.freeSince > strandedAfter && p.stranded(h, hs) {
			us = append(us, h)
		}
	}
	return us
}

// stranded tells whether a host's weights are of a model of which the domain
// has too few free hosts for a group, while another model has more.
func (p *Planner) stranded(h *host, hs []*host) bool {
	count := map[string]int{}
	for _, other := range hs {
		count[p.modelAt(other)]++
	}
	own := p.modelAt(h)
	for model, n := range count {
		if model != "" && model != own && n > count[own] {
			return true
		}
	}
	return false
}

// modelAt returns the model that a free host has or is getting.
func (p *Planner) modelAt(h *host) string {
	if h.staging != "" {
		return h.staging
	}
	if len(h.Staged) > 0 {
		return h.Staged[len(h.Staged)-1]
	}
	return ""
}

// bestToStage returns the model for a domain's next host without weights: the
// one that then lacks the fewest hosts for a group, by need among equals.
func (p *Planner) bestToStage(hs []*host, ms []modelPlan) (modelPlan, bool) {
	if len(ms) == 0 {
		return modelPlan{}, false
	}
	empties := 0
	count := map[string]int{}
	for _, h := range hs {
		if m := p.modelAt(h); m != "" {
			count[m]++
		} else {
			empties++
		}
	}
	lacking := p.lacking(ms)
	type option struct {
		m       modelPlan
		missing int
		lacks   bool
	}
	var options []option
	for _, m := range ms {
		if m.GroupSize <= 0 {
			continue
		}
		missing := m.GroupSize - count[m.Name]%m.GroupSize
		options = append(options, option{m, missing, lacking[m.Name] > 0})
	}
	if len(options) == 0 {
		return modelPlan{}, false
	}
	sort.SliceStable(options, func(i, j int) bool {
		a, b := options[i], options[j]
		if a.lacks != b.lacks {
			return a.lacks
		}
		if fitsA, fitsB := a.missing <= empties, b.missing <= empties; fitsA != fitsB {
			return fitsA
		}
		return false
	})
	return options[0].m, true
}

// loadRoom returns how many loads may start now.
func (p *Planner) loadRoom(now time.Duration) int {
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
	return max(min(allowed-len(p.loads), e.LoadsAtOnce-running), 0)
}
