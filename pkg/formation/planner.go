package formation

import (
	"sort"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// Config configures a planner.
type Config struct {
	// Term is the term of the leadership that the planner acts for. No two planners have the same.
	Term uint64
	// StartedAt is the start of the leadership.
	StartedAt time.Duration
	// LoadWindow is the sliding window within which the number of weight loads is limited.
	LoadWindow time.Duration
	// Fenced is set if hosts refuse orders of terms before the highest that they have seen.
	Fenced bool
}

// epochsPerTerm is the number of epochs reserved for each term.
const epochsPerTerm = 1 << 20

// Planner plans the groups of one service.
type Planner struct {
	cfg     Config
	service *catalog.Service
	load    map[string]float64 // measured engine time by model

	hosts       map[string]*host
	sortedHosts []*host          // cache of hostsByID; nil if outdated
	groups      map[int64]*group // by epoch
	evacuated   map[string]bool  // failure domains

	now              time.Duration // time of the current Tick
	nextEpoch        int64
	nextOrder        uint64
	newestHostSeenAt time.Duration // when the newest host was first seen
	firstHostSeenAt  time.Duration
	traffic          bool // client requests have arrived
	loadStarts       []time.Duration
	runningRequests  map[string]int // by head, as counted by entry hosts

	capableCache map[domainModel]int        // cache of capableHosts; nil if outdated
	spareCache   map[domainModel]spareCount // cache of spareCountOf; nil if outdated

	trafficSince time.Duration
	rebalancedAt time.Duration // time of the last exchange of groups
}

// New returns a planner without hosts.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:             cfg,
		load:            map[string]float64{},
		hosts:           map[string]*host{},
		groups:          map[int64]*group{},
		evacuated:       map[string]bool{},
		nextEpoch:       firstEpochOf(cfg.Term),
		runningRequests: map[string]int{},
	}
}

// firstEpochOf returns the lowest epoch of a term.
func firstEpochOf(term uint64) int64 { return int64(term)*epochsPerTerm + 1 }

// SetService sets the service in force; nil if there is no engine service.
func (p *Planner) SetService(s *catalog.Service) { p.service = s }

// SetEvacuated sets the evacuated failure domains.
func (p *Planner) SetEvacuated(domains []string) {
	p.evacuated = map[string]bool{}
	for _, d := range domains {
		p.evacuated[d] = true
	}
}

// SetLoad sets the engine time per second that requests require, by model.
func (p *Planner) SetLoad(load map[string]float64) { p.load = load }

// TrafficStarted records that client requests have arrived.
func (p *Planner) TrafficStarted(now time.Duration) {
	p.traffic = true
	p.trafficSince = now
}

// SetRunningRequests sets the number of running requests by head ID.
func (p *Planner) SetRunningRequests(busy map[string]int) { p.runningRequests = busy }

// ObserveHost records the newest announcement of a host, received at heard.
func (p *Planner) ObserveHost(now time.Duration, u fleet.Upstream, heard time.Duration) {
	h := p.hosts[u.ID]
	if h == nil {
		h = &host{freeSince: now}
		if heard <= p.cfg.StartedAt {
			// A former leadership may have ordered any of its epochs.
			h.unansweredJoin, h.unansweredAt = firstEpochOf(p.cfg.Term)-1, p.cfg.StartedAt
		}
		p.hosts[u.ID] = h
		p.sortedHosts = nil
		p.newestHostSeenAt = now
		if p.firstHostSeenAt == 0 {
			p.firstHostSeenAt = now
		}
	}
	if h.StartedMS != u.StartedMS {
		*h = host{group: h.group, freeSince: now, unansweredJoin: h.unansweredJoin, unansweredAt: h.unansweredAt}
	}
	if heard > h.lastAnnouncement {
		h.dead = false
	}
	if u.Sequence > h.Sequence && u.Assignment != nil && u.Assignment.Epoch == h.leftEpoch {
		h.leftEpoch = 0 // a late join has put it back
	}
	h.Upstream = u
	h.lastAnnouncement = heard
	h.lastModel = fleet.ModelOf(u.LastGroup)
	if h.stagingModel != "" && h.hasWeights(h.stagingModel) {
		h.stagingModel = ""
	}
}

// MarkDead records that a host did not answer a probe. It is treated as lost until its next
// announcement.
func (p *Planner) MarkDead(id string) {
	if h := p.hosts[id]; h != nil {
		h.dead = true
	}
}

// GroupMembers returns the members of the standing group with the given head, nil if there is none.
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

// SilentHosts returns the hosts in groups that are due for a probe: live hosts without an
// announcement within HostSilenceTimeout, or within firstAnnouncementTimeout if they have not
// announced themselves in this leadership.
func (p *Planner) SilentHosts(now time.Duration) []fleet.Upstream {
	var us []fleet.Upstream
	for _, h := range p.hostsByID() {
		bound := HostSilenceTimeout
		if !p.announced(h) {
			bound = firstAnnouncementTimeout
		}
		if (h.group != nil || h.Assignment != nil) && !h.dead && h.State != fleet.Gone && now-h.lastAnnouncement > bound {
			us = append(us, h.Upstream)
		}
	}
	return us
}

// HeadOf returns the ID of the head of a host's group, empty if it is in none.
func (p *Planner) HeadOf(id string) string {
	if h := p.hosts[id]; h != nil && h.group != nil {
		return h.group.head().ID
	}
	return ""
}

// CordonedHeads returns the heads of groups that must get no new requests.
func (p *Planner) CordonedHeads() map[string]bool {
	cordoned := map[string]bool{}
	for _, g := range p.groups {
		if g.phase == draining || g.phase == retiring {
			cordoned[g.head().ID] = true
		}
	}
	return cordoned
}

// OrderCompleted records the result of an order.
func (p *Planner) OrderCompleted(now time.Duration, o Order, r OrderResult) {
	h := p.hosts[o.Host.ID]
	if h == nil || h.openOrder == nil || h.openOrder.ID != o.ID {
		return
	}
	h.openOrder = nil
	switch r {
	case Accepted:
		h.fenced = p.cfg.Fenced
	case Deferred:
		h.noOrderBefore = now + deferredRetryDelay
	default:
		h.noOrderBefore = now + orderRetryDelay
	}
	switch {
	case o.Kind == Leave && r != Unknown:
		// A host that rejects a leave is not in that group.
		h.leftEpoch = o.Epoch
		if h.group != nil && h.group.epoch == o.Epoch {
			h.group = nil
			h.freeSince = now
		}
	case o.Kind == Stage && r == Accepted:
		h.stagingModel = o.Model
		h.stagingDue = now + p.loadTime(o.Model)
	case o.Kind == Join && r == Accepted:
		h.acceptedJoin = max(h.acceptedJoin, o.Epoch)
	case o.Kind == Join && r == Unknown:
		h.unansweredJoin, h.unansweredAt = max(h.unansweredJoin, o.Epoch), now
	case o.Kind == Join && r == Rejected:
		if g := p.groups[o.Epoch]; g != nil && g.phase == forming {
			p.retire(now, g, "a member rejected its join order")
		}
	}
}

// loadTime returns the expected time to load a model's weights.
func (p *Planner) loadTime(model string) time.Duration {
	if p.service == nil || p.service.Engine == nil {
		return 0
	}
	m, _ := p.service.Engine.Model(model)
	if !p.traffic {
		return m.LoadTime / preTrafficLoadSpeedup
	}
	return m.LoadTime
}

// preTrafficLoadSpeedup is how many times faster weights load before requests arrive.
const preTrafficLoadSpeedup = 10

// Tick advances all groups and returns the orders that are due.
func (p *Planner) Tick(now time.Duration) []Order {
	if p.service == nil || p.service.Engine == nil {
		return nil
	}
	p.now = now
	p.removeGoneHosts()
	p.capableCache, p.spareCache = nil, nil
	p.adoptGroups(now)
	var orders []Order
	for _, g := range p.sortedGroups() {
		orders = append(orders, p.advanceGroup(now, g)...)
	}
	orders = append(orders, p.strayLeaveOrders(now)...)
	if p.settled(now) {
		p.formGroups(now)
		p.rebalance(now)
		orders = append(orders, p.joinOrders(now)...)
		orders = append(orders, p.stagingOrders(now)...)
	}
	return orders
}

// settled reports whether groups may be formed. At the start it waits until no new hosts appear.
func (p *Planner) settled(now time.Duration) bool {
	if p.firstHostSeenAt == 0 {
		return false
	}
	return p.traffic || len(p.groups) > 0 || now-p.newestHostSeenAt >= hostSettleTime || now-p.firstHostSeenAt >= maxSettleTime
}

// announced reports whether a host has announced itself in this leadership. Records of other hosts
// may predate the last orders of the former leadership.
func (p *Planner) announced(h *host) bool { return h.lastAnnouncement > p.cfg.StartedAt }

// removeGoneHosts removes hosts that are gone.
func (p *Planner) removeGoneHosts() {
	for id, h := range p.hosts {
		if h.State == fleet.Gone && h.group == nil {
			delete(p.hosts, id)
			p.sortedHosts = nil
		}
	}
}

// hostsByID returns the hosts sorted by ID. The caller must not modify the slice.
func (p *Planner) hostsByID() []*host {
	if p.sortedHosts != nil {
		return p.sortedHosts
	}
	p.sortedHosts = make([]*host, 0, len(p.hosts))
	for _, h := range p.hosts {
		p.sortedHosts = append(p.sortedHosts, h)
	}
	sort.Slice(p.sortedHosts, func(i, j int) bool { return p.sortedHosts[i].ID < p.sortedHosts[j].ID })
	return p.sortedHosts
}

func (p *Planner) sortedGroups() []*group {
	gs := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		gs = append(gs, g)
	}
	sort.Slice(gs, func(i, j int) bool { return gs[i].epoch < gs[j].epoch })
	return gs
}

// newOrder completes an order and records it as open at the host.
func (p *Planner) newOrder(h *host, o Order) Order {
	p.nextOrder++
	o.ID = p.nextOrder
	o.Host = h.Upstream
	h.openOrder = &o
	return o
}

// canOrder reports whether a host can be given an order now.
func canOrder(now time.Duration, h *host) bool {
	return h.openOrder == nil && now >= h.noOrderBefore && !h.dead && h.State != fleet.Gone
}

func (p *Planner) newGroup(now time.Duration, m modelPlan, members []*host, within time.Duration) *group {
	g := &group{
		name:     fleet.GroupName(m.Name, p.nextEpoch),
		epoch:    p.nextEpoch,
		model:    m.Name,
		members:  members,
		phase:    forming,
		since:    now,
		deadline: now + within + joinSlack,
		ready:    map[string]bool{},
	}
	p.nextEpoch++
	p.groups[g.epoch] = g
	for _, h := range members {
		h.group = g
	}
	p.capableCache, p.spareCache = nil, nil
	return g
}
