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
	room := p.loadRoom(now)
	var orders []Order
	for _, c := range p.stageable(now) {
		if room <= 0 {
			break
		}
		m, ok := p.bestToStage(c, ms)
		if !ok || c.group != nil && !p.spareCopy(c) {
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
	var empty, stranded, second []*host
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
		case p.traffic && len(h.Staged) > 0 && p.stranded(now, h):
			stranded = append(stranded, h)
		}
	}
	if p.traffic && len(empty) > 0 {
		return empty
	}
	return append(stranded, second...)
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

// bestToStage returns the model for a host: the one whose next group gains most,
// by the part of that group's hosts that its domain then has free.
func (p *Planner) bestToStage(h *host, ms []modelPlan) (modelPlan, bool) {
	count := p.freeCopies(h)
	have := p.groupCounts()
	best, bestScore, ownScore := modelPlan{}, 0.0, 0.0
	for _, m := range ms {
		if m.GroupSize <= 0 || m.Name == h.last {
			continue
		}
		part := float64(count[m.Name]%m.GroupSize+1) / float64(m.GroupSize)
		score := gain(m, have[m.Name]+count[m.Name]/m.GroupSize) * part * part
		if h.holds(m.Name) {
			ownScore = score
			continue
		}
		if score > bestScore {
			best, bestScore = m, score
		}
	}
	return best, bestScore > restageGain*ownScore
}

// restageGain is how much better weights must be than those that a host has:
// a load takes half a minute's work of the weight store.
const restageGain = 2.5

// freeCopies counts the free hosts of a host's domain that can serve each
// model, or soon will, without that host.
func (p *Planner) freeCopies(h *host) map[string]int {
	count := map[string]int{}
	for _, other := range p.hosts {
		if other == h || other.Domain != h.Domain || other.group != nil || !p.usable(other) {
			continue
		}
		disk := p.onDisk(other)
		if disk != "" {
			count[disk]++
		}
		if other.last != "" && other.last != disk {
			count[other.last]++
		}
	}
	return count
}

// stranded tells whether a free host has waited for long, and its domain has
// too few hosts for a group of its model.
func (p *Planner) stranded(now time.Duration, h *host) bool {
	if h.group != nil || now-h.freeSince < strandedAfter {
		return false
	}
	m, known := p.service.Engine.Model(p.onDisk(h))
	return !known || p.freeCopies(h)[m.Name]+1 < m.GroupSize
}

// strandedAfter is how long a free host keeps weights of which its domain has
// too few copies: longer than a repair, shorter than a load.
const strandedAfter = 3 * time.Second

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
