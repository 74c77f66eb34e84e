package formation

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// advance moves a group on by what its members reported.
func (p *Planner) advance(now time.Duration, g *group) []Order {
	if g.phase != retiring {
		if reason := p.broken(g); reason != "" {
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
		if p.busy[g.head().ID] == 0 && now-g.since >= drainSettle || now >= g.deadline {
			p.retire(now, g, g.reason)
		}
	}
	if g.phase == retiring {
		return p.dissolve(now, g)
	}
	return nil
}

// drainSettle covers the time until every gate stopped sending to a head.
const drainSettle = 500 * time.Millisecond

// broken tells why a group can't serve any more, or returns nothing.
func (p *Planner) broken(g *group) string {
	for _, m := range g.members {
		seat := g.seatOf(m)
		switch {
		case m.group != g:
			return "a member was lost"
		case m.State == fleet.Gone && !m.Deregistered:
			return "member " + m.ID + " is gone"
		case m.dead:
			return "member " + m.ID + " does not answer"
		case g.ready[m.ID] && seat == nil:
			return "member " + m.ID + " is not in the group any more"
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
		p.retire(now, g, "its members were not ready in time")
		return p.dissolve(now, g)
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
	if !mayOrder(now, h) {
		return nil
	}
	h.retryAt = now + p.service.Engine.FormationTime + orderRetry
	return []Order{p.order(h, Order{Kind: Open, Group: g.name, Epoch: g.epoch, Reason: "all members are ready"})}
}

// drainIfLeaving takes a group out of service while its head still serves when
// a member said that it leaves.
func (p *Planner) drainIfLeaving(now time.Duration, g *group) {
	for _, m := range g.members {
		if m.Leaving() {
			g.drain(now, "member "+m.ID+" leaves")
			return
		}
	}
}

func (p *Planner) retire(now time.Duration, g *group, reason string) {
	g.phase = retiring
	g.since = now
	g.reason = reason
}

// dissolve tells the members to leave, the head first: while it is open or
// stands still its members must not join another group.
func (p *Planner) dissolve(now time.Duration, g *group) []Order {
	var orders []Order
	remaining := 0
	for i, m := range g.members {
		if m.group != g {
			continue
		}
		if m.State == fleet.Gone || m.Assignment == nil && m.order == nil && m.left == g.epoch {
			p.release(now, m)
			continue
		}
		remaining++
		if m.dead && now-m.heard > forgetDead {
			p.release(now, m)
			continue
		}
		if i > 0 && p.headHolds(g) {
			continue
		}
		if mayOrder(now, m) {
			orders = append(orders, p.order(m, Order{Kind: Leave, Group: g.name, Epoch: g.epoch, Reason: g.reason}))
		}
	}
	if remaining == 0 {
		delete(p.groups, g.epoch)
	}
	return orders
}

// forgetDead is how long a host that does not answer keeps its place in a
// group that is being taken apart.
const forgetDead = 3 * time.Second

func (p *Planner) release(now time.Duration, h *host) {
	h.group = nil
	h.freeSince = now
}

// headHolds tells whether the head may still be open: it answers, and has not
// confirmed that it left.
func (p *Planner) headHolds(g *group) bool {
	h := g.head()
	return h.group == g && h.State != fleet.Gone && !h.dead
}

// freeStrays tells hosts to leave groups that nobody plans: the rest of a
// former leadership, or a late order.
func (p *Planner) freeStrays(now time.Duration) []Order {
	if now-p.cfg.StartedAt < adoptAfter {
		return nil
	}
	var orders []Order
	for _, h := range p.sorted() {
		if h.group != nil || !p.met(h) || !h.seated() || !mayOrder(now, h) || now-h.heard > HostSilenceTimeout {
			continue
		}
		orders = append(orders, p.order(h, Order{
			Kind: Leave, Group: h.Assignment.Group, Epoch: h.Assignment.Epoch, Reason: "its group is not whole",
		}))
	}
	return orders
}

// adopt takes over whole groups that a former leadership formed.
func (p *Planner) adopt(now time.Duration) {
	seats := map[int64][]*host{}
	for _, h := range p.sorted() {
		if h.group == nil && h.Assignment != nil && h.seated() && p.groups[h.Assignment.Epoch] == nil && p.met(h) && !h.dead {
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
		phase: forming, since: now, deadline: now + p.loadTime(model) + formSlack, ready: map[string]bool{},
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
