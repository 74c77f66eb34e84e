package formation

import (
	"sort"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// stage copies weights to hosts. A host joins a group of the model of its last
// group at once, and one of a staged model soon; so each host is given the
// weights of a model other than its last group's and can serve either.
func (p *Planner) stage(now time.Duration) []Order {
	ms := p.models()
	room := p.loadRoom(now)
	var orders []Order
	for _, c := range p.stageable(now) {
		if room <= 0 {
			break
		}
		m, ok := p.bestToStage(c, ms)
		if !ok || !p.spareCopy(c) {
			continue
		}
		room--
		p.loads = append(p.loads, now)
		c.staging = m.Name // counts for the next choice; the order's end corrects it
		c.stagedBy = now + m.LoadTime
		orders = append(orders, p.order(c, Order{Kind: Stage, Model: m.Name, Reason: "so that the host can serve it soon"}))
	}
	return orders
}

// stageable returns the hosts that should get other weights, those without any
// first.
func (p *Planner) stageable(now time.Duration) []*host {
	var empty, second []*host
	for _, h := range p.sorted() {
		if h.staging != "" && now >= h.stagedBy+stageSlack {
			h.staging = "" // it did not report the weights in time
		}
		if h.State != fleet.Ready || !mayOrder(now, h) || h.staging != "" || now-h.heard > SilentAfter {
			continue
		}
		settled := h.group == nil && !h.seated() || h.group != nil && h.group.phase == standing
		switch {
		case !settled:
		case len(h.Staged) == 0 && h.last == "" && p.traffic:
			empty = append(empty, h)
		case h.last != "" && (len(h.Staged) == 0 || h.holds(h.last)):
			second = append(second, h)
		}
	}
	if p.traffic && len(empty) > 0 {
		return empty
	}
	return append(empty, second...)
}

// spareCopy tells whether a host's weights may be replaced: enough others of
// its domain keep them through a restart to form a group.
func (p *Planner) spareCopy(h *host) bool {
	if len(h.Staged) == 0 {
		return true
	}
	own := h.Staged[len(h.Staged)-1]
	m, known := p.service.Engine.Model(own)
	if !known {
		return true
	}
	copies := 0
	for _, other := range p.hosts {
		if other != h && other.Domain == h.Domain && p.usable(other) && p.onDisk(other) == own {
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
	if len(h.Staged) > 0 {
		return h.Staged[len(h.Staged)-1]
	}
	return ""
}

// stageSlack is added to the time of a load that others slow down.
const stageSlack = 10 * time.Second

// modelAt returns the model that a free host has or is getting.
func (p *Planner) modelAt(h *host) string {
	if h.staging != "" {
		return h.staging
	}
	if len(h.Staged) > 0 {
		return h.Staged[len(h.Staged)-1]
	}
	return h.last
}

// bestToStage returns the model for a host: not its last group's, first one
// that lacks groups, then the one for which its domain then lacks the fewest
// hosts.
func (p *Planner) bestToStage(h *host, ms []modelPlan) (modelPlan, bool) {
	count := map[string]int{}
	for _, other := range p.hosts {
		if other != h && other.Domain == h.Domain && other.group == nil && p.usable(other) {
			count[p.modelAt(other)]++
		}
	}
	lacking := p.lacking(ms)
	type option struct {
		m       modelPlan
		missing int
		lacks   int
	}
	var options []option
	for _, m := range ms {
		if m.GroupSize <= 0 || m.Name == h.last || h.holds(m.Name) {
			continue
		}
		options = append(options, option{m, m.GroupSize - count[m.Name]%m.GroupSize, max(lacking[m.Name], 0)})
	}
	if len(options) == 0 {
		return modelPlan{}, false
	}
	sort.SliceStable(options, func(i, j int) bool {
		a, b := options[i], options[j]
		if (a.lacks > 0) != (b.lacks > 0) {
			return a.lacks > 0
		}
		return a.missing < b.missing
	})
	return options[0].m, true
}

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
	return max(min(allowed-len(p.loads), e.LoadsAtOnce-running), 0)
}
