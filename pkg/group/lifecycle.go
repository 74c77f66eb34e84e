package group

import "github.com/sesamemux/sesamemux/pkg/view"

// evaluate advances a group as far as its hosts permit. It changes nothing on a group that already
// is as declared.
func (m *Machine) evaluate(g *group) {
	m.dropFailedPrepared(g)
	m.updateMemberDrained(g)
	m.updateState(g)
	if g.State == view.StateDissolving {
		m.finishDissolving(g)
	} else {
		m.repair(g)
	}
	if m.groups[g.ID] != g {
		return
	}
	m.updateCounts(g)
	m.updateIndexes(g)
}

// updateIndexes records whether the passage of time or the barrier may change the group.
func (m *Machine) updateIndexes(g *group) {
	if m.steady(g) {
		delete(m.unsteady, g.ID)
	} else {
		m.unsteady[g.ID] = g
	}
	if m.barrierReached(g.StopRevision) || g.takesWork() {
		delete(m.awaitingBarrier, g.ID)
	} else {
		m.awaitingBarrier[g.ID] = g
	}
}

// steady reports whether only an event about its hosts or an operator can change the group.
func (m *Machine) steady(g *group) bool {
	if !g.takesWork() {
		return false
	}
	for rank := range g.Ranks {
		if g.Ranks[rank].PreparedHost != "" || m.health(g, rank) != healthOK {
			return false
		}
	}
	return true
}

// updateState adapts the group's state to the reports of its members.
func (m *Machine) updateState(g *group) {
	if g.State == view.StateDissolving {
		return
	}
	complete := m.allReady(g)
	switch {
	case complete && g.State != view.StateServing:
		m.startServing(g)
	case !complete && g.State == view.StateServing:
		m.suspend(g, m.causeOf(g))
	case !complete && g.State == view.StateSuspended:
		m.updateAllSilent(g)
	case !complete:
		m.setState(g, m.loadProgress(g))
	}
}

// allReady reports whether each rank has a host and that host is ready.
func (m *Machine) allReady(g *group) bool {
	for rank := range g.Ranks {
		h := m.member(g, rank)
		if h == nil || !h.ready() || h.Role.Epoch != g.Epoch {
			return false
		}
	}
	return true
}

// member returns the host of a rank, or nil while the rank has none.
func (m *Machine) member(g *group, rank int) *host {
	return g.Ranks[rank].host
}

// loadProgress returns the state of a group that has not served at its epoch yet.
func (m *Machine) loadProgress(g *group) view.GroupState {
	loaded, carried := 0, 0
	for rank := range g.Ranks {
		h := m.member(g, rank)
		if h == nil {
			continue
		}
		if h.loaded() {
			loaded++
		}
		if h.reportsRole() {
			carried++
		}
	}
	switch {
	case loaded == len(g.Ranks):
		return view.StateVerifying
	case loaded > 0 || carried > 0:
		return view.StateLoading
	default:
		return view.StateForming
	}
}

// startServing lets a group take work.
func (m *Machine) startServing(g *group) {
	m.setState(g, view.StateServing)
	g.Served = true
	g.RecoveryBlocked = false
	g.Settled = true
	for rank := range g.Ranks {
		h := m.member(g, rank)
		m.leaveQueue(h)
		h.Load = load{}
	}
}

// suspend takes a group out of service because of its members.
func (m *Machine) suspend(g *group, c Cause) {
	m.stopTakingWork(g, c)
	m.setState(g, view.StateSuspended)
	m.updateAllSilent(g)
}

// stopTakingWork records the revision from which a group takes no work, and the cause. The caller
// then makes the change that stops the work.
func (m *Machine) stopTakingWork(g *group, c Cause) {
	if !g.takesWork() {
		return
	}
	g.StopRevision = m.rev
	g.Cause = c
	g.DrainedAt = m.now
	g.Settled = false
}

// setState moves a group to another state of its life cycle.
func (m *Machine) setState(g *group, s view.GroupState) {
	if g.State == s {
		return
	}
	g.State = s
	g.Since = m.now
	m.markChanged(g)
}

// causeOf returns why a group that served is no longer ready.
func (m *Machine) causeOf(g *group) Cause {
	for rank := range g.Ranks {
		h := m.member(g, rank)
		if h == nil {
			return CauseMemberRestarted
		}
		if !h.Present {
			return CauseMemberSilent
		}
	}
	return CauseMemberFault
}

// updateAllSilent updates the cause if no member of a group is heard from.
func (m *Machine) updateAllSilent(g *group) {
	for rank := range g.Ranks {
		if h := m.member(g, rank); h != nil && h.Present {
			return
		}
	}
	if len(g.Ranks) > 1 {
		g.Cause = CauseAllMembersSilent
	}
}

// updateMemberDrained updates whether a member is drained or leaving.
func (m *Machine) updateMemberDrained(g *group) {
	out := false
	for rank := range g.Ranks {
		h := m.member(g, rank)
		out = out || h != nil && m.drained(h)
	}
	if out == g.MemberDrained {
		return
	}
	if out {
		m.stopTakingWork(g, CauseDrain)
	}
	g.MemberDrained = out
	m.markChanged(g)
}

// drainComplete reports whether the hosts of a group that stopped taking work may be given other
// roles.
func (m *Machine) drainComplete(g *group) bool {
	if !m.barrierReached(g.StopRevision) {
		return false
	}
	if g.State == view.StateDissolving || g.State == view.StateServing {
		return g.Settled || m.now >= g.DrainedAt+view.Time(m.opts.DrainTimeout)
	}
	return true
}
