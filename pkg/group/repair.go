package group

import (
	"github.com/sesamemux/sesamemux/pkg/view"
)

// repair brings a group back after trouble with its members. While a spare
// loads, the silent member may still come back: whichever is ready first
// serves.
func (m *Machine) repair(g *group) {
	if m.opts.Policy == PolicyRebuild && m.rebuild(g) {
		return
	}
	if g.Retarget {
		m.retarget(g)
		return
	}
	if g.Out && m.allOut(g) {
		m.cancelNexts(g)
		m.setDoubtful(g, true)
		return
	}
	m.cancelNeedless(g)
	m.prepareNexts(g)
	m.takeOver(g)
}

// rebuild dissolves a group in which a member is missing.
func (m *Machine) rebuild(g *group) bool {
	if g.takesWork() || g.Out {
		return false
	}
	for rank := range g.Seats {
		if m.trouble(g, rank) > troubleLight {
			m.dissolve(g, g.Cause)
			return true
		}
	}
	return false
}

// cancelNeedless gives hosts free that were prepared for seats which are well
// again.
func (m *Machine) cancelNeedless(g *group) {
	cancelled := false
	for rank := range g.Seats {
		if g.Seats[rank].Next == "" || m.trouble(g, rank) != troubleNone {
			continue
		}
		if h := m.seated(g, rank); h.loaded() {
			m.cancelNext(g, rank)
			cancelled = true
		}
	}
	if cancelled {
		m.renewNexts(g)
	}
}

// prepareNexts finds hosts for all ranks that need another one.
func (m *Machine) prepareNexts(g *group) {
	stuck := false
	added := false
	for rank := range g.Seats {
		if g.Seats[rank].Next != "" || !m.replaceNow(g, rank) {
			continue
		}
		h := m.candidate(g, rank)
		if h != nil {
			g.Seats[rank].prepare(h)
			m.setRole(h, g.role(rank, m.nextEpoch()))
			added = true
			continue
		}
		stuck = stuck || m.trouble(g, rank) != troubleLight
	}
	if stuck && m.merge(g) {
		stuck = false
		added = true
	}
	if added {
		m.renewNexts(g)
	}
	m.setDoubtful(g, stuck)
}

// setDoubtful notes whether a group is expected back soon.
func (m *Machine) setDoubtful(g *group, doubtful bool) {
	g.Doubtful = doubtful && !g.takesWork()
}

// renewNexts gives all hosts that are being prepared one new epoch, as they
// are to know each other. It keeps what they have loaded.
func (m *Machine) renewNexts(g *group) {
	g.NextEpoch = 0
	for rank := range g.Seats {
		h := m.prepared(g, rank)
		if h == nil {
			continue
		}
		if g.NextEpoch == 0 {
			g.NextEpoch = m.nextEpoch()
		}
		m.setRole(h, g.role(rank, g.NextEpoch))
	}
}

// cancelNext gives the host free that was prepared for a rank.
func (m *Machine) cancelNext(g *group, rank int) {
	h := m.prepared(g, rank)
	g.Seats[rank].cancel()
	if h != nil {
		m.release(h, 0)
	}
}

// cancelNexts gives all hosts free that were being prepared.
func (m *Machine) cancelNexts(g *group) {
	for rank := range g.Seats {
		if g.Seats[rank].Next != "" {
			m.cancelNext(g, rank)
		}
	}
	g.NextEpoch = 0
}

// dropLostNexts gives up prepared hosts that were lost or taken out
// themselves.
func (m *Machine) dropLostNexts(g *group) {
	dropped := false
	for rank := range g.Seats {
		h := m.prepared(g, rank)
		if h == nil {
			continue
		}
		stuck := h.failed() || m.orderOverdue(h) || m.loadOverdue(h, g.Weights)
		if h.Present && !m.out(h) && !stuck {
			continue
		}
		m.cancelNext(g, rank)
		if stuck {
			m.chill(h)
		}
		dropped = true
	}
	if dropped {
		m.renewNexts(g)
	}
}

// takeOver makes prepared hosts members, once all ranks have their weights.
func (m *Machine) takeOver(g *group) {
	if g.NextEpoch == 0 || !m.preparedWhole(g) {
		m.stopSwitching(g)
		return
	}
	if g.takesWork() && !m.startSwitching(g) {
		return
	}
	if !m.settled(g) {
		return
	}
	for rank := range g.Seats {
		m.takeSeatOver(g, rank)
	}
	g.Epoch = g.NextEpoch
	g.NextEpoch = 0
	g.Switching = false
	g.Doubtful = false
	m.setState(g, view.StateVerifying)
	m.alter(g)
	m.touch(g)
}

// takeSeatOver moves one rank to the group's next epoch.
func (m *Machine) takeSeatOver(g *group, rank int) {
	s := &g.Seats[rank]
	next := m.prepared(g, rank)
	if next == nil {
		m.setRole(m.seated(g, rank), g.role(rank, g.NextEpoch))
		return
	}
	if h := m.seated(g, rank); h != nil {
		m.release(h, g.LeftAt)
	}
	s.occupy(next)
	s.cancel()
}

// preparedWhole tells whether prepared hosts and members together make a whole
// group.
func (m *Machine) preparedWhole(g *group) bool {
	for rank := range g.Seats {
		if h := m.prepared(g, rank); h != nil {
			if !h.ready() {
				return false
			}
			continue
		}
		h := m.seated(g, rank)
		if h == nil || m.out(h) || !h.loaded() {
			return false
		}
	}
	return true
}

// startSwitching drains a group that serves with a member that should be
// replaced, if the model can do without it for the moment.
func (m *Machine) startSwitching(g *group) bool {
	mod := m.models[g.Model]
	if mod.tally.taking <= mod.want.Minimum {
		return false
	}
	m.stopWork(g, CauseMemberFault)
	g.Switching = true
	m.alter(g)
	return true
}

// stopSwitching gives a group work again that can't take its prepared hosts
// over.
func (m *Machine) stopSwitching(g *group) {
	if g.Switching {
		g.Switching = false
		m.alter(g)
	}
}

// unseat takes a host out of its group.
func (m *Machine) unseat(g *group, h *host, c Cause) {
	for rank := range g.Seats {
		s := &g.Seats[rank]
		switch h.Info.Name {
		case s.Host:
			m.unseatMember(g, rank, h, c)
			return
		case s.Next:
			m.cancelNext(g, rank)
			m.renewNexts(g)
			m.touch(g)
			return
		}
	}
}

func (m *Machine) unseatMember(g *group, rank int, h *host, c Cause) {
	if g.State == view.StateServing {
		m.suspend(g, c)
	}
	if g.State == view.StateSuspended && g.Cause == CauseMemberSilent {
		g.Cause = c
	}
	g.Seats[rank].vacate()
	m.release(h, g.LeftAt)
	m.alter(g)
	m.touch(g)
}
