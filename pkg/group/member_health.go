package group

import (
	"time"
)

// memberHealth is the condition of the host of a rank.
type memberHealth int

const (
	healthOK       memberHealth = iota
	healthDegraded              // the group can serve, but the host should be replaced
	healthSilent                // the host may return by itself
	healthDrained               // the host is drained or leaving
	healthLost                  // the host will not recover by itself, or there is none
)

// readBackTime is how long a host that has the weights takes to become a member.
const readBackTime = 2 * time.Second

// health returns the condition of the host of a rank.
func (m *Machine) health(g *group, rank int) memberHealth {
	h := m.member(g, rank)
	switch {
	case h == nil:
		return healthLost
	case m.drained(h):
		return healthDrained
	case !h.Present:
		return healthSilent
	case h.failed() || m.orderOverdue(h) || m.loadOverdue(h, g.Weights):
		return healthLost
	case h.Slow || h.Faults.flapping(m.now):
		return healthDegraded
	default:
		return healthOK
	}
}

// replacementDue reports whether another host should now be prepared for a rank.
func (m *Machine) replacementDue(g *group, rank int) bool {
	switch m.health(g, rank) {
	case healthOK:
		return false
	case healthSilent:
		h := m.member(g, rank)
		return time.Duration(m.now-h.LostAt) >= m.gracePeriod(g, rank)
	default:
		return true
	}
}

// gracePeriod returns how long to wait for a silent member before a spare is prepared.
func (m *Machine) gracePeriod(g *group, rank int) time.Duration {
	h := m.member(g, rank)
	mod := m.models[g.Model]
	switch {
	case m.opts.FixedGrace > 0:
		return m.opts.FixedGrace
	case m.opts.FixedGrace < 0 || h.Faults.flapping(m.now):
		return 0
	default:
		return m.returns.GracePeriod(m.replacementTime(g, rank), mod.spec.PauseGrace)
	}
}

// replacementTime estimates how long another host needs to take over a rank.
func (m *Machine) replacementTime(g *group, rank int) time.Duration {
	h := m.candidate(g, rank)
	if h != nil && g.role(rank, 0).loadedBy(h.Status) {
		return readBackTime
	}
	return m.opts.loadTime(g.Weights)
}

// countMissing counts the ranks that need another host now.
func (m *Machine) countMissing(g *group) int {
	n := 0
	for rank := range g.Ranks {
		if m.health(g, rank) > healthDegraded && m.replacementDue(g, rank) {
			n++
		}
	}
	return n
}

// allDrained reports whether all remaining members are drained, so that the group can only wait.
func (m *Machine) allDrained(g *group) bool {
	for rank := range g.Ranks {
		h := m.member(g, rank)
		if h != nil && !m.drained(h) {
			return false
		}
	}
	return true
}

// preparedHost returns the host that is prepared for a rank, or nil.
func (m *Machine) preparedHost(g *group, rank int) *host {
	return g.Ranks[rank].prepared
}
