package formation

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// advanceGroup advances a group according to the reports of its members.
func (p *Planner) advanceGroup(now time.Duration, g *group) []Order {
	if g.phase != retiring {
		if reason := p.brokenReason(g); reason != "" {
			p.retire(now, g, reason)
		}
	}
	switch g.phase {
	case forming:
		return p.advanceForming(now, g)
	case opening:
		return p.advanceOpening(now, g)
	case standing:
		p.drainIfLeaving(now, g)
	case draining:
		if p.runningRequests[g.head().ID] == 0 && now-g.since >= drainPropagationTime || now >= g.deadline {
			p.retire(now, g, g.retireReason)
		}
	}
	if g.phase == retiring {
		return p.leaveOrders(now, g)
	}
	return nil
}

// drainPropagationTime covers the time until all entry hosts have stopped sending requests to a
// head.
const drainPropagationTime = 500 * time.Millisecond

// brokenReason returns why a group can no longer serve, or an empty string.
func (p *Planner) brokenReason(g *group) string {
	for _, m := range g.members {
		seat := g.seatOf(m)
		switch {
		case m.group != g:
			return "a member is no longer assigned to the group"
		case m.State == fleet.Gone && !m.Deregistered:
			return "member " + m.ID + " is gone"
		case m.dead:
			return "member " + m.ID + " does not answer"
		case g.ready[m.ID] && seat == nil:
			return "member " + m.ID + " left the group"
		case seat != nil && seat.State == fleet.AssignmentBroken:
			return "member " + m.ID + " reports a broken group"
		}
	}
	return ""
}

func (p *Planner) advanceForming(now time.Duration, g *group) []Order {
	for _, m := range g.members {
		seat := g.seatOf(m)
		if seat != nil && seat.State == fleet.AssignmentReady {
			g.ready[m.ID] = true
		}
	}
	if len(g.ready) == len(g.members) {
		g.phase = opening
		g.since = now
		return p.advanceOpening(now, g)
	}
	if now >= g.deadline {
		p.retire(now, g, "members were not ready in time")
		return p.leaveOrders(now, g)
	}
	return nil
}

func (p *Planner) advanceOpening(now time.Duration, g *group) []Order {
	h := g.head()
	seat := g.seatOf(h)
	if seat != nil && seat.State == fleet.AssignmentOpen {
		g.phase = standing
		g.since = now
		return nil
	}
	if !canOrder(now, h) {
		return nil
	}
	h.noOrderBefore = now + p.service.Engine.FormationTime + orderRetryDelay
	return []Order{p.newOrder(h, Order{Kind: Open, Group: g.name, Epoch: g.epoch, Reason: "all members are ready"})}
}

// drainIfLeaving drains a group with a member that announced that it leaves, while the head still
// serves.
func (p *Planner) drainIfLeaving(now time.Duration, g *group) {
	for _, m := range g.members {
		if m.Leaving() {
			g.startDraining(now, "member "+m.ID+" leaves")
			return
		}
	}
}

func (p *Planner) retire(now time.Duration, g *group, reason string) {
	g.phase = retiring
	g.since = now
	g.retireReason = reason
}

// leaveOrders tells the members of a retiring group to leave, the head first: while the head may be
// open its members must not join another group.
func (p *Planner) leaveOrders(now time.Duration, g *group) []Order {
	var orders []Order
	remaining := 0
	for i, m := range g.members {
		if m.group != g {
			continue
		}
		if m.State == fleet.Gone || m.Assignment == nil && m.openOrder == nil && m.leftEpoch == g.epoch {
			p.freeHost(now, m)
			continue
		}
		remaining++
		if m.dead && now-m.lastAnnouncement > deadHostTimeout {
			p.freeHost(now, m)
			continue
		}
		if i > 0 && p.headMayServe(g) {
			continue
		}
		if canOrder(now, m) {
			orders = append(orders, p.newOrder(m, Order{Kind: Leave, Group: g.name, Epoch: g.epoch, Reason: g.retireReason}))
		}
	}
	if remaining == 0 {
		delete(p.groups, g.epoch)
	}
	return orders
}

// deadHostTimeout is how long a dead host remains assigned to a retiring group.
const deadHostTimeout = 3 * time.Second

func (p *Planner) freeHost(now time.Duration, h *host) {
	h.group = nil
	h.freeSince = now
}

// headMayServe reports whether the head may still be open: it is live and has not confirmed
// leaving.
func (p *Planner) headMayServe(g *group) bool {
	h := g.head()
	return h.group == g && h.State != fleet.Gone && !h.dead
}

// strayLeaveOrders tells hosts to leave groups that the planner does not know: remains of a former
// leadership that are known to be incomplete, or the effect of a delayed order.
func (p *Planner) strayLeaveOrders(now time.Duration) []Order {
	if now-p.cfg.StartedAt < adoptDelay {
		return nil
	}
	var orders []Order
	unclear := p.unclearGroups()
	for _, h := range p.hostsByID() {
		if h.group != nil && !h.isElsewhere() || !p.announced(h) || !h.inGroup() || unclear[h.Assignment.Epoch] || !canOrder(now, h) ||
			now-h.lastAnnouncement > HostSilenceTimeout {
			continue
		}
		orders = append(orders, p.newOrder(h, Order{
			Kind: Leave, Group: h.Assignment.Group, Epoch: h.Assignment.Epoch, Reason: "group is incomplete",
		}))
	}
	return orders
}

// unclearGroups returns the epochs of the groups with a member that has not announced itself in this
// leadership and is not known to be lost. Such members are probed; see SilentHosts.
func (p *Planner) unclearGroups() map[int64]bool {
	unclear := map[int64]bool{}
	for _, h := range p.hosts {
		if !p.announced(h) && !h.dead && h.State != fleet.Gone && h.inGroup() {
			unclear[h.Assignment.Epoch] = true
		}
	}
	return unclear
}

// adoptGroups takes over complete groups that a former leadership formed.
func (p *Planner) adoptGroups(now time.Duration) {
	seats := map[int64][]*host{}
	for _, h := range p.hostsByID() {
		if h.group == nil && h.Assignment != nil && h.inGroup() && p.groups[h.Assignment.Epoch] == nil && p.announced(h) && !h.dead {
			seats[h.Assignment.Epoch] = append(seats[h.Assignment.Epoch], h)
		}
	}
	for epoch, hs := range seats {
		name := hs[0].Assignment.Group
		model, known := p.service.Engine.Model(fleet.ModelOf(name))
		if !known || len(hs) != model.GroupSize {
			continue
		}
		members := make([]*host, model.GroupSize)
		for _, h := range hs {
			if h.Assignment.Group == name && h.Assignment.Rank >= 0 && h.Assignment.Rank < len(members) {
				members[h.Assignment.Rank] = h
			}
		}
		p.adoptGroup(now, epoch, name, model.Name, members)
	}
}

func (p *Planner) adoptGroup(now time.Duration, epoch int64, name, model string, members []*host) {
	g := &group{
		name: name, epoch: epoch, model: model, members: members,
		phase: forming, since: now, deadline: now + p.loadTime(model) + joinSlack, ready: map[string]bool{},
	}
	for _, h := range members {
		if h == nil {
			return
		}
	}
	for _, h := range members {
		h.group = g
		if h.Assignment.State != fleet.AssignmentJoining {
			g.ready[h.ID] = true
		}
	}
	if g.head().Assignment.State == fleet.AssignmentOpen {
		g.phase = standing
	}
	p.groups[epoch] = g
}
