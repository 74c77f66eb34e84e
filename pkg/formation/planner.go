package formation

import (
	"sort"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// Config is what a planner starts with.
type Config struct {
	// Term is the leadership that the planner acts for; no other planner has
	// the same.
	Term uint64
	// StartedAt is the time at the start of the leadership.
	StartedAt time.Duration
	// LoadWindow is the span over which the starts of loads are bounded.
	LoadWindow time.Duration
}

// epochsOfTerm is the number of epochs that one leadership may use.
const epochsOfTerm = 1 << 20

// Planner decides groups of one service.
type Planner struct {
	cfg     Config
	service *catalog.Service
	load    map[string]float64 // measured engine time by model

	hosts     map[string]*host
	byID      []*host          // see sorted; nil when it must be made anew
	groups    map[int64]*group // by epoch
	evacuated map[string]bool  // failure domains

	now       time.Duration // of the present decision
	nextEpoch int64
	nextOrder uint64
	lastNew   time.Duration // when the newest host was first seen
	firstSeen time.Duration
	traffic   bool // requests have begun
	loads     []time.Duration
	busy      map[string]int // running requests by head, as gates count them

	capable map[place]int        // see capableIn; nil when it must be counted anew
	spares  map[place]spareCount // see spareAt; the same

	trafficSince time.Duration
	rebalanced   time.Duration // when a group last began to change its model
}

// New returns a planner without hosts.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:       cfg,
		load:      map[string]float64{},
		hosts:     map[string]*host{},
		groups:    map[int64]*group{},
		evacuated: map[string]bool{},
		nextEpoch: int64(cfg.Term)*epochsOfTerm + 1,
		busy:      map[string]int{},
	}
}

// SetService gives the objects in force; nil when no engine service is left.
func (p *Planner) SetService(s *catalog.Service) { p.service = s }

// SetEvacuated gives the failure domains that get no requests.
func (p *Planner) SetEvacuated(domains []string) {
	p.evacuated = map[string]bool{}
	for _, d := range domains {
		p.evacuated[d] = true
	}
}

// SetLoad gives the engine time that each model's requests need.
func (p *Planner) SetLoad(load map[string]float64) { p.load = load }

// TrafficStarted says that clients' requests have come.
func (p *Planner) TrafficStarted(now time.Duration) {
	p.traffic = true
	p.trafficSince = now
}

// SetRunningRequests gives the requests that run at each head, by ID.
func (p *Planner) SetRunningRequests(busy map[string]int) { p.busy = busy }

// ObserveHost takes the newest record of a host, heard at a moment.
func (p *Planner) ObserveHost(now time.Duration, u fleet.Upstream, heard time.Duration) {
	h := p.hosts[u.ID]
	if h == nil {
		h = &host{freeSince: now}
		p.hosts[u.ID] = h
		p.byID = nil
		p.lastNew = now
		if p.firstSeen == 0 {
			p.firstSeen = now
		}
	}
	if h.StartedMS != u.StartedMS {
		*h = host{group: h.group, freeSince: now}
	}
	if heard > h.heard {
		h.dead = false
	}
	h.Upstream = u
	h.heard = heard
	h.last = fleet.ModelOf(u.LastGroup)
	if h.staging != "" && h.holds(h.staging) {
		h.staging = ""
	}
}

// MarkDead says that a host did not answer a probe. It counts as lost until it
// announces itself again.
func (p *Planner) MarkDead(id string) {
	if h := p.hosts[id]; h != nil {
		h.dead = true
	}
}

// GroupMembers returns the members of the standing group that a host leads,
// nil when it leads none.
func (p *Planner) GroupMembers(head string) []fleet.Upstream {
	h := p.hosts[head]
	if h == nil || h.group == nil || h.group.phase != standing || h.group.head() != h {
		return nil
	}
	us := make([]fleet.Upstream, 0, len(h.group.members))
	for _, m := range h.group.members {
		us = append(us, m.Upstream)
	}
	return us
}

// SilentHosts returns hosts in groups that have not announced themselves for
// SilentAfter, or since the leadership began, and are not known to be dead.
func (p *Planner) SilentHosts(now time.Duration) []fleet.Upstream {
	var us []fleet.Upstream
	for _, h := range p.sorted() {
		bound := HostSilenceTimeout
		if !p.met(h) {
			bound = meetWithin
		}
		if (h.group != nil || h.Assignment != nil) && !h.dead && h.State != fleet.Gone && now-h.heard > bound {
			us = append(us, h.Upstream)
		}
	}
	return us
}

// HeadOf returns the head of a host's group, empty when it is in none.
func (p *Planner) HeadOf(id string) string {
	if h := p.hosts[id]; h != nil && h.group != nil {
		return h.group.head().ID
	}
	return ""
}

// BarredHeads returns the heads of groups that must not get new requests.
func (p *Planner) BarredHeads() map[string]bool {
	barred := map[string]bool{}
	for _, g := range p.groups {
		if g.phase == draining || g.phase == retiring {
			barred[g.head().ID] = true
		}
	}
	return barred
}

// OrderCompleted takes the outcome of an order.
func (p *Planner) OrderCompleted(now time.Duration, o Order, r OrderResult) {
	h := p.hosts[o.Host.ID]
	if h == nil || h.order == nil || h.order.ID != o.ID {
		return
	}
	h.order = nil
	if r != Accepted {
		h.retryAt = now + orderRetry
	}
	switch {
	case o.Kind == Leave && r != Unknown:
		// A host that rejects a leave is in another group or in none.
		h.left = o.Epoch
		if h.group != nil && h.group.epoch == o.Epoch {
			h.group = nil
			h.freeSince = now
		}
	case o.Kind == Stage && r == Accepted:
		h.staging = o.Model
		h.stagedBy = now + p.loadTime(o.Model)
	case o.Kind == Join && r == Rejected:
		if g := p.groups[o.Epoch]; g != nil && g.phase == forming {
			p.retire(now, g, "a host rejected its join")
		}
	}
}

// loadTime returns how long a load of a model takes now.
func (p *Planner) loadTime(model string) time.Duration {
	if p.service == nil || p.service.Engine == nil {
		return 0
	}
	m, _ := p.service.Engine.Model(model)
	if !p.traffic {
		return m.LoadTime / quickLoads
	}
	return m.LoadTime
}

// quickLoads is how much less time a load takes before requests come.
const quickLoads = 10

// Tick moves all groups on and returns the orders that are due.
func (p *Planner) Tick(now time.Duration) []Order {
	if p.service == nil || p.service.Engine == nil {
		return nil
	}
	p.now = now
	p.dropHosts()
	p.capable, p.spares = nil, nil
	p.adopt(now)
	var orders []Order
	for _, g := range p.sortedGroups() {
		orders = append(orders, p.advance(now, g)...)
	}
	orders = append(orders, p.freeStrays(now)...)
	if p.settled(now) {
		p.form(now)
		p.rebalance(now)
		orders = append(orders, p.joins(now)...)
		orders = append(orders, p.stage(now)...)
	}
	return orders
}

// settled tells whether groups may be formed: at the start that is when no new
// hosts come in any more.
func (p *Planner) settled(now time.Duration) bool {
	if p.firstSeen == 0 {
		return false
	}
	return p.traffic || len(p.groups) > 0 || now-p.lastNew >= settleTime || now-p.firstSeen >= settleLimit
}

// met tells whether a host has announced itself in this leadership. What is
// known of others may be older than the last orders of the former one.
func (p *Planner) met(h *host) bool { return h.heard > p.cfg.StartedAt }

// dropHosts forgets hosts that are gone.
func (p *Planner) dropHosts() {
	for id, h := range p.hosts {
		if h.State == fleet.Gone && h.group == nil {
			delete(p.hosts, id)
			p.byID = nil
		}
	}
}

// sorted returns the hosts by ID. The slice is read-only.
func (p *Planner) sorted() []*host {
	if p.byID != nil {
		return p.byID
	}
	p.byID = make([]*host, 0, len(p.hosts))
	for _, h := range p.hosts {
		p.byID = append(p.byID, h)
	}
	sort.Slice(p.byID, func(i, j int) bool { return p.byID[i].ID < p.byID[j].ID })
	return p.byID
}

func (p *Planner) sortedGroups() []*group {
	gs := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		gs = append(gs, g)
	}
	sort.Slice(gs, func(i, j int) bool { return gs[i].epoch < gs[j].epoch })
	return gs
}

// order makes an order and notes it at the host.
func (p *Planner) order(h *host, o Order) Order {
	p.nextOrder++
	o.ID = p.nextOrder
	o.Host = h.Upstream
	h.order = &o
	return o
}

// mayOrder tells whether a host can be given an order now.
func mayOrder(now time.Duration, h *host) bool {
	return h.order == nil && now >= h.retryAt && !h.dead && h.State != fleet.Gone
}

func (p *Planner) newGroup(now time.Duration, m modelPlan, members []*host, within time.Duration) *group {
	g := &group{
		name:     fleet.GroupName(m.Name, p.nextEpoch),
		epoch:    p.nextEpoch,
		model:    m.Name,
		members:  members,
		phase:    forming,
		since:    now,
		deadline: now + within + formSlack,
		ready:    map[string]bool{},
	}
	p.nextEpoch++
	p.groups[g.epoch] = g
	for _, h := range members {
		h.group = g
	}
	p.capable, p.spares = nil, nil
	return g
}
