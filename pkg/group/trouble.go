package group

import (
	"time"
)

// trouble says what is wrong with a seat.
type trouble int

const (
	troubleNone   trouble = iota
	troubleLight          // the group can serve, but the host should be replaced
	troubleSilent         // the host may come back by itself
	troubleOut            // the host was taken out or is leaving
	troubleGone           // the host will not come back by itself
)

// readBackTime is how long a host that has the weights takes to be a member.
const readBackTime = 2 * time.Second

// trouble tells what is wrong with a rank of a group.
func (m *Machine) trouble(g *group, rank int) trouble {
	h := m.seated(g, rank)
	switch {
	case h == nil:
		return troubleGone
	case m.out(h):
		return troubleOut
	case !h.Present:
		return troubleSilent
	case h.failed() || m.orderOverdue(h) || m.loadOverdue(h, g.Weights):
		return troubleGone
	case h.Slow || h.Faults.flapping(m.now):
		return troubleLight
	default:
		return troubleNone
	}
}

// replaceNow tells whether the time to prepare another host for a rank has
// come.
func (m *Machine) replaceNow(g *group, rank int) bool {
	switch m.trouble(g, rank) {
	case troubleNone:
		return false
	case troubleSilent:
		h := m.seated(g, rank)
		return time.Duration(m.now-h.LostAt) >= m.grace(g, rank)
	default:
		return true
	}
}

// grace is how long a silent member is waited for before a spare is prepared.
func (m *Machine) grace(g *group, rank int) time.Duration {
	h := m.seated(g, rank)
	mod := m.models[g.Model]
	switch {
	case m.opts.FixedGrace > 0:
		return m.opts.FixedGrace
	case m.opts.FixedGrace < 0 || h.Faults.flapping(m.now):
		return 0
	default:
		return m.returns.GracePeriod(m.switchTime(g, rank), mod.want.PauseGrace)
	}
}

// switchTime is how long it takes until another host can have a rank.
func (m *Machine) switchTime(g *group, rank int) time.Duration {
	h := m.candidate(g, rank)
	if h != nil && g.role(rank, 0).loadedBy(h.Status) {
		return readBackTime
	}
	return m.opts.loadTime(g.Weights)
}

// missing counts the ranks that need another host now.
func (m *Machine) missing(g *group) int {
	n := 0
	for rank := range g.Seats {
		if m.trouble(g, rank) > troubleLight && m.replaceNow(g, rank) {
			n++
		}
	}
	return n
}

// allOut tells whether every member that is left was taken out, so that the
// group can only wait.
func (m *Machine) allOut(g *group) bool {
	for rank := range g.Seats {
		h := m.seated(g, rank)
		if h != nil && !m.out(h) {
			return false
		}
	}
	return true
}

// prepared gives the host that is to take a rank over, or nil.
func (m *Machine) prepared(g *group, rank int) *host {
	return g.Seats[rank].next
}
