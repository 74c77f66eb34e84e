package formation

import (
	"math"
	"sort"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// usable reports whether a host may serve at all.
func (p *Planner) usable(h *host) bool {
	return h.State == fleet.Ready && !h.dead && !p.evacuated[h.Zone]
}

// available reports whether a host can be assigned to a new group.
func (p *Planner) available(now time.Duration, h *host) bool {
	return p.usable(h) && p.announced(h) && h.group == nil && !h.inGroup() && now-h.lastAnnouncement <= HostSilenceTimeout &&
		(h.openOrder == nil || h.openOrder.Kind == Stage)
}

// modelPlans returns the models with their share of the load, in descending order of the required
// hosts.
func (p *Planner) modelPlans() []modelPlan {
	var ms []modelPlan
	declaredWeight := p.declaredShareWeight()
	for _, m := range p.service.Engine.Models {
		// Declared shares refer to host time, so divide by the group size.
		w := p.load[m.Name] + declaredWeight*m.Share/float64(max(m.GroupSize, 1))
		ms = append(ms, modelPlan{Model: m, load: w})
	}
	sort.SliceStable(ms, func(i, j int) bool {
		return ms[i].load*float64(ms[i].GroupSize) > ms[j].load*float64(ms[j].GroupSize)
	})
	return ms
}

// declaredShareWeight returns the number of hosts that the declared shares account for: half of all
// hosts before traffic, decaying once load is measured.
func (p *Planner) declaredShareWeight() float64 {
	weight := float64(len(p.hosts)) / 2
	if p.traffic {
		weight *= math.Exp(-float64(p.now-p.trafficSince) / float64(declaredShareDecayTime))
	}
	return weight
}

// declaredShareDecayTime is the decay time of the declared shares: the measured load takes some
// seconds to rise.
const declaredShareDecayTime = 2 * time.Second

// WantedGroups returns the target number of groups of each model.
func (p *Planner) WantedGroups() map[string]int {
	if p.service == nil || p.service.Engine == nil {
		return nil
	}
	return p.targetGroups(p.modelPlans())
}

func (p *Planner) targetGroups(ms []modelPlan) map[string]int {
	hosts := 0
	for _, h := range p.hosts {
		if p.usable(h) {
			hosts++
		}
	}
	return allocateGroups(ms, hosts)
}

// formGroups plans new groups of available hosts. Before traffic hosts join without having the
// weights. Later the weights are staged first, so that a host that is loading can still be used
// elsewhere.
func (p *Planner) formGroups(now time.Duration) {
	ms := p.modelPlans()
	for {
		formed := false
		have := p.groupCounts()
		for _, m := range p.modelsByGain(ms, have) {
			if members, within := p.chooseMembers(now, m, ms, have); members != nil {
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

// modelsByGain returns the models that benefit from another group, in descending order of the gain.
// It uses the same measure as rebalancing. Before traffic each model gets the groups of its share
// of the load.
func (p *Planner) modelsByGain(ms []modelPlan, have map[string]int) []modelPlan {
	want := p.targetGroups(ms)
	var needy []modelPlan
	for _, m := range ms {
		if want[m.Name] > have[m.Name] || p.traffic && marginalGain(m, have[m.Name]) > minFormGain {
			needy = append(needy, m)
		}
	}
	sort.SliceStable(needy, func(i, j int) bool {
		return marginalGain(needy[i], have[needy[i].Name]) > marginalGain(needy[j], have[needy[j].Name])
	})
	return needy
}

// minFormGain is the gain below which no group is formed; the hosts stay available as replacements.
const minFormGain = 0.02

// chooseMembers returns the hosts of the failure domain that can serve a model soonest, and their
// time to join. It returns nil if no domain has enough hosts.
func (p *Planner) chooseMembers(now time.Duration, m modelPlan, ms []modelPlan, have map[string]int) ([]*host, time.Duration) {
	if m.GroupSize <= 0 {
		return nil, 0
	}
	mayLoad := !p.traffic
	var best []*host
	var bestTime time.Duration
	bestLoss, bestFree := 0.0, 0
	competitors := competitorsOf(m, ms, have)
	for _, hs := range p.availableByDomain(now) {
		var eligible []*host
		times := map[string]time.Duration{}
		for _, h := range hs {
			d, ok := h.joinTime(now, m, mayLoad)
			if !ok || h.openOrder != nil || p.traffic && p.reserved(h, competitors) {
				continue
			}
			if p.traffic && d > m.WarmTime+maxStagingWait {
				continue
			}
			times[h.ID] = d
			eligible = append(eligible, h)
		}
		if len(eligible) < m.GroupSize {
			continue
		}
		sort.SliceStable(eligible, func(i, j int) bool { return times[eligible[i].ID] < times[eligible[j].ID] })
		members := eligible[:m.GroupSize]
		t := times[members[m.GroupSize-1].ID]
		loss, free := displacedLoad(ms, m, len(hs)), len(hs)
		if best == nil || t < bestTime || t == bestTime && (loss < bestLoss || loss == bestLoss && free < bestFree) {
			best, bestTime, bestLoss, bestFree = members, t, loss, free
		}
	}
	return best, bestTime
}

// competitor is a model that gains more from another group than a given model.
type competitor struct {
	modelPlan
	gainRatio float64
}

// competitorsOf returns the models that gain more from another group than m.
func competitorsOf(m modelPlan, ms []modelPlan, have map[string]int) []competitor {
	own := max(marginalGain(m, have[m.Name]), minFormGain)
	var rs []competitor
	for _, other := range ms {
		if ratio := marginalGain(other, have[other.Name]) / own; other.Name != m.Name && ratio > 1 {
			rs = append(rs, competitor{other, ratio})
		}
	}
	return rs
}

// reserved reports whether an available host should wait for a group of a competitor: its domain
// has enough hosts for one, available or reassignable, or the competitor's gain is far higher.
func (p *Planner) reserved(h *host, competitors []competitor) bool {
	for _, r := range competitors {
		if p.couldServe(h, r.Name) && (r.gainRatio > reserveRatio || p.capableHosts(h.FabricDomain, r.Name) >= r.GroupSize) {
			return true
		}
	}
	return false
}

// reserveRatio is the ratio of gains above which a host waits for a competitor although its domain
// has too few hosts for the competitor's group yet.
const reserveRatio = 4

// displacedLoad returns what a group of m in a domain with the given number of available hosts
// costs other models: the number of groups that they could no longer form there, weighted by their
// load.
func displacedLoad(models []modelPlan, m modelPlan, free int) float64 {
	lost := 0.0
	for _, o := range models {
		if o.Name != m.Name && o.GroupSize > 0 {
			lost += o.load * float64(free/o.GroupSize-(free-m.GroupSize)/o.GroupSize)
		}
	}
	return lost
}

// maxStagingWait is how long a group may wait for a host whose staging is about to complete.
const maxStagingWait = 500 * time.Millisecond

func (p *Planner) availableByDomain(now time.Duration) [][]*host {
	byDomain := map[string][]*host{}
	var names []string
	for _, h := range p.hostsByID() {
		if !p.available(now, h) {
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

// joinOrders returns join orders for members of forming groups that have not joined yet.
func (p *Planner) joinOrders(now time.Duration) []Order {
	var orders []Order
	for _, g := range p.sortedGroups() {
		if g.phase != forming {
			continue
		}
		for _, m := range g.members {
			if g.seatOf(m) != nil || !canOrder(now, m) || m.inGroup() {
				continue
			}
			if p.traffic && !m.hasWeights(g.model) && m.lastModel != g.model {
				continue
			}
			m.noOrderBefore = now + joinRetryDelay
			orders = append(orders, p.newOrder(m, Order{
				Kind: Join, Group: g.name, Epoch: g.epoch, Model: g.model, Members: g.memberIDs(), OnlyIfFree: p.mayJoinLate(now, m),
				Reason: "group forms",
			}))
		}
	}
	return orders
}

// joinRetryDelay is the delay before a join is repeated that was accepted but does not show in the
// host's reports.
const joinRetryDelay = 2 * time.Second
