package formation

import (
	"math"
	"sort"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// usable tells whether a host may serve at all.
func (p *Planner) usable(h *host) bool {
	return h.State == fleet.Ready && !h.dead && !p.evacuated[h.Zone]
}

// free tells whether a host can be planned for a new group.
func (p *Planner) free(now time.Duration, h *host) bool {
	return p.usable(h) && p.met(h) && h.group == nil && !h.seated() && now-h.heard <= HostSilenceTimeout &&
		(h.order == nil || h.order.Kind == Stage)
}

// models returns the models with their part of the load, the heaviest first.
func (p *Planner) models() []modelPlan {
	var ms []modelPlan
	prior := p.prior()
	for _, m := range p.service.Engine.Models {
		// The share is of the hosts' time.
		w := p.load[m.Name] + prior*m.Share/float64(max(m.GroupSize, 1))
		ms = append(ms, modelPlan{Model: m, weight: w})
	}
	sort.SliceStable(ms, func(i, j int) bool {
		return ms[i].weight*float64(ms[i].GroupSize) > ms[j].weight*float64(ms[j].GroupSize)
	})
	return ms
}

// prior is how many hosts' time the declared shares stand for: half of all
// before traffic, less and less once the load is measured.
func (p *Planner) prior() float64 {
	weight := float64(len(p.hosts)) / 2
	if p.traffic {
		weight *= math.Exp(-float64(p.now-p.trafficSince) / float64(priorSpan))
	}
	return weight
}

// priorSpan is the time in which the declared shares lose their weight: the
// measured load needs some seconds to rise.
const priorSpan = 2 * time.Second

// WantedGroups returns how many groups each model should have in all.
func (p *Planner) WantedGroups() map[string]int {
	if p.service == nil || p.service.Engine == nil {
		return nil
	}
	return p.wanted(p.models())
}

func (p *Planner) wanted(ms []modelPlan) map[string]int {
	hosts := 0
	for _, h := range p.hosts {
		if p.usable(h) {
			hosts++
		}
	}
	return targets(ms, hosts)
}

// form plans new groups from free hosts. Before traffic hosts join without
// their weights; later they are staged first, so that a host that loads can
// still be used elsewhere.
func (p *Planner) form(now time.Duration) {
	ms := p.models()
	for {
		formed := false
		have := p.groupCounts()
		for _, m := range p.byNeed(ms, have) {
			if members, within := p.bestMembers(now, m, ms, have); members != nil {
				p.newGroup(now, m, members, within)
				formed = true
				break
			}
		}
		if !formed {
			return
		}
	}
}

// byNeed returns the models to which one more group is worth something, the
// one first that gains most: the same measure by which groups are given up for
// others. Before traffic each gets the groups of its part of the
// load.
func (p *Planner) byNeed(ms []modelPlan, have map[string]int) []modelPlan {
	want := p.wanted(ms)
	var needy []modelPlan
	for _, m := range ms {
		if want[m.Name] > have[m.Name] || p.traffic && gain(m, have[m.Name]) > leastGain {
			needy = append(needy, m)
		}
	}
	sort.SliceStable(needy, func(i, j int) bool {
		return gain(needy[i], have[needy[i].Name]) > gain(needy[j], have[needy[j].Name])
	})
	return needy
}

// leastGain is the worth of one more group below which its hosts stay free, to
// take the places of others that die.
const leastGain = 0.02

// bestMembers returns the hosts of the failure domain that can serve a model
// soonest, and when; nil when no domain has enough.
func (p *Planner) bestMembers(now time.Duration, m modelPlan, ms []modelPlan, have map[string]int) ([]*host, time.Duration) {
	if m.GroupSize <= 0 {
		return nil, 0
	}
	mayLoad := !p.traffic
	var best []*host
	var bestTime time.Duration
	bestLoss, bestFree := 0.0, 0
	rivals := rivals(m, ms, have)
	for _, hs := range p.freeByDomain(now) {
		var able []*host
		times := map[string]time.Duration{}
		for _, h := range hs {
			d, ok := h.readyIn(now, m, mayLoad)
			if !ok || h.order != nil || p.traffic && p.kept(h, rivals) {
				continue
			}
			if p.traffic && d > m.WarmTime+waitForStaging {
				continue
			}
			times[h.ID] = d
			able = append(able, h)
		}
		if len(able) < m.GroupSize {
			continue
		}
		sort.SliceStable(able, func(i, j int) bool { return times[able[i].ID] < times[able[j].ID] })
		members := able[:m.GroupSize]
		t := times[members[m.GroupSize-1].ID]
		loss, free := lostGroups(ms, m, len(hs)), len(hs)
		if best == nil || t < bestTime || t == bestTime && (loss < bestLoss || loss == bestLoss && free < bestFree) {
			best, bestTime, bestLoss, bestFree = members, t, loss, free
		}
	}
	return best, bestTime
}

// rival is a model that gains more by one more group than another.
type rival struct {
	modelPlan
	ratio float64 // of the gains
}

// rivals returns the models that gain more than m.
func rivals(m modelPlan, ms []modelPlan, have map[string]int) []rival {
	own := max(gain(m, have[m.Name]), leastGain)
	var rs []rival
	for _, other := range ms {
		if ratio := gain(other, have[other.Name]) / own; other.Name != m.Name && ratio > 1 {
			rs = append(rs, rival{other, ratio})
		}
	}
	return rs
}

// kept tells whether a free host is to wait for a group of a model that gains
// more: its domain has the hosts for one, free or in groups that can be given
// up for it, or the gain is far above.
func (p *Planner) kept(h *host, rivals []rival) bool {
	for _, r := range rivals {
		if p.couldServe(h, r.Name) && (r.ratio > keepRatio || p.capableIn(h.FabricDomain, r.Name) >= r.GroupSize) {
			return true
		}
	}
	return false
}

// keepRatio is how much more another model must gain for a host to wait for it
// in a domain that has too few hosts for it yet.
const keepRatio = 4

// lostGroups is what a group of m in a domain with a number of free hosts takes
// from other models: the groups that they could no longer form there, by their
// part of the load.
func lostGroups(models []modelPlan, m modelPlan, free int) float64 {
	lost := 0.0
	for _, o := range models {
		if o.Name != m.Name && o.GroupSize > 0 {
			lost += o.weight * float64(free/o.GroupSize-(free-m.GroupSize)/o.GroupSize)
		}
	}
	return lost
}

// waitForStaging is how long a group is held for a host whose staging ends
// soon.
const waitForStaging = 500 * time.Millisecond

func (p *Planner) freeByDomain(now time.Duration) [][]*host {
	byDomain := map[string][]*host{}
	var names []string
	for _, h := range p.sorted() {
		if !p.free(now, h) {
			continue
		}
		if byDomain[h.FabricDomain] == nil {
			names = append(names, h.FabricDomain)
		}
		byDomain[h.FabricDomain] = append(byDomain[h.FabricDomain], h)
	}
	sort.Strings(names)
	list := make([][]*host, 0, len(names))
	for _, n := range names {
		list = append(list, byDomain[n])
	}
	return list
}

// joins gives the join orders of forming groups to the members that have not
// taken theirs.
func (p *Planner) joins(now time.Duration) []Order {
	var orders []Order
	for _, g := range p.sortedGroups() {
		if g.phase != forming {
			continue
		}
		for _, m := range g.members {
			if g.seatOf(m) != nil || !mayOrder(now, m) || m.seated() {
				continue
			}
			if p.traffic && !m.holds(g.model) && m.last != g.model {
				continue
			}
			m.retryAt = now + joinAgain
			orders = append(orders, p.order(m, Order{
				Kind: Join, Group: g.name, Epoch: g.epoch, Model: g.model, Members: g.memberIDs(), Reason: "group forms",
			}))
		}
	}
	return orders
}

// joinAgain is the pause before a join that was accepted, but is not in the
// host's reports, is given again.
const joinAgain = 2 * time.Second
