package group

import (
	"github.com/sesamemux/sesamemux/pkg/view"
)

// repair restores a group whose members have faults. While a spare loads, a silent member may
// still return; whichever is ready first serves.
func (m *Machine) repair(g *group) {
	if m.opts.Policy == PolicyRebuild && m.rebuild(g) {
		return
	}
	if g.Updating {
		m.applyTarget(g)
		return
	}
	if g.MemberDrained && m.allDrained(g) {
		m.cancelAllPrepared(g)
		m.setRecoveryBlocked(g, true)
		return
	}
	m.cancelUnneeded(g)
	m.prepareReplacements(g)
	m.switchToPrepared(g)
}

// rebuild dissolves a group in which a member is missing.
func (m *Machine) rebuild(g *group) bool {
	if g.takesWork() || g.MemberDrained {
		return false
	}
	for rank := range g.Ranks {
		if m.health(g, rank) > healthDegraded {
			m.dissolve(g, g.Cause)
			return true
		}
	}
	return false
}

// cancelUnneeded frees hosts that were prepared for ranks whose members have recovered.
func (m *Machine) cancelUnneeded(g *group) {
	cancelled := false
	for rank := range g.Ranks {
		if g.Ranks[rank].PreparedHost == "" || m.health(g, rank) != healthOK {
			continue
		}
		if h := m.member(g, rank); h.loaded() {
			m.cancelPrepared(g, rank)
			cancelled = true
		}
	}
	if cancelled {
		m.renewPreparedEpoch(g)
	}
}

// prepareReplacements finds hosts for all ranks that need another one.
func (m *Machine) prepareReplacements(g *group) {
	stuck := false
	added := false
	for rank := range g.Ranks {
		if g.Ranks[rank].PreparedHost != "" || !m.replacementDue(g, rank) {
			continue
		}
		h := m.candidate(g, rank)
		if h != nil {
			g.Ranks[rank].prepare(h)
			m.setRole(h, g.role(rank, m.nextEpoch()))
			added = true
			continue
		}
		stuck = stuck || m.health(g, rank) != healthDegraded
	}
	if stuck && m.merge(g) {
		stuck = false
		added = true
	}
	if added {
		m.renewPreparedEpoch(g)
	}
	m.setRecoveryBlocked(g, stuck)
}

// setRecoveryBlocked records whether a group is not expected to take work again soon. A group that
// takes work is never blocked.
func (m *Machine) setRecoveryBlocked(g *group, doubtful bool) {
	g.RecoveryBlocked = doubtful && !g.takesWork()
}

// renewPreparedEpoch assigns all prepared hosts a common new epoch, because they must know each
// other's addresses. They keep the weights that they have loaded.
func (m *Machine) renewPreparedEpoch(g *group) {
	g.PreparedEpoch = 0
	for rank := range g.Ranks {
		h := m.preparedHost(g, rank)
		if h == nil {
			continue
		}
		if g.PreparedEpoch == 0 {
			g.PreparedEpoch = m.nextEpoch()
		}
		m.setRole(h, g.role(rank, g.PreparedEpoch))
	}
}

// cancelPrepared frees the host that was prepared for a rank.
func (m *Machine) cancelPrepared(g *group, rank int) {
	h := m.preparedHost(g, rank)
	g.Ranks[rank].cancelPrepared()
	if h != nil {
		m.release(h, 0)
	}
}

// cancelAllPrepared frees all prepared hosts of a group.
func (m *Machine) cancelAllPrepared(g *group) {
	for rank := range g.Ranks {
		if g.Ranks[rank].PreparedHost != "" {
			m.cancelPrepared(g, rank)
		}
	}
	g.PreparedEpoch = 0
}

// dropFailedPrepared frees prepared hosts that were lost or drained, that failed, or whose order
// or load is overdue.
func (m *Machine) dropFailedPrepared(g *group) {
	dropped := false
	for rank := range g.Ranks {
		h := m.preparedHost(g, rank)
		if h == nil {
			continue
		}
		stuck := h.failed() || m.orderOverdue(h) || m.loadOverdue(h, g.Weights)
		if h.Present && !m.drained(h) && !stuck {
			continue
		}
		m.cancelPrepared(g, rank)
		if stuck {
			m.abortLoad(h)
		}
		dropped = true
	}
	if dropped {
		m.renewPreparedEpoch(g)
	}
}

// switchToPrepared makes prepared hosts members once all ranks have their weights.
func (m *Machine) switchToPrepared(g *group) {
	if g.PreparedEpoch == 0 || !m.replacementReady(g) {
		m.stopSwitching(g)
		return
	}
	if g.takesWork() && !m.startSwitching(g) {
		return
	}
	if !m.drainComplete(g) {
		return
	}
	for rank := range g.Ranks {
		m.switchRank(g, rank)
	}
	g.Epoch = g.PreparedEpoch
	g.PreparedEpoch = 0
	g.Switching = false
	g.RecoveryBlocked = false
	m.setState(g, view.StateVerifying)
	m.markChanged(g)
	m.markDirty(g)
}

// switchRank moves one rank to the group's prepared epoch.
func (m *Machine) switchRank(g *group, rank int) {
	s := &g.Ranks[rank]
	next := m.preparedHost(g, rank)
	if next == nil {
		m.setRole(m.member(g, rank), g.role(rank, g.PreparedEpoch))
		return
	}
	if h := m.member(g, rank); h != nil {
		m.release(h, g.StopRevision)
	}
	s.assign(next)
	s.cancelPrepared()
}

// replacementReady reports whether prepared hosts and members together fill all ranks of the
// group.
func (m *Machine) replacementReady(g *group) bool {
	for rank := range g.Ranks {
		if h := m.preparedHost(g, rank); h != nil {
			if !h.ready() {
				return false
			}
			continue
		}
		h := m.member(g, rank)
		if h == nil || m.drained(h) || !h.loaded() {
			return false
		}
	}
	return true
}

// startSwitching drains a serving group in which a member should be replaced, unless its model
// would fall below the minimum.
func (m *Machine) startSwitching(g *group) bool {
	mod := m.models[g.Model]
	if mod.counts.takingWork <= mod.spec.Minimum {
		return false
	}
	m.stopTakingWork(g, CauseMemberFault)
	g.Switching = true
	m.markChanged(g)
	return true
}

// stopSwitching lets a group take work again if it can't switch to its prepared hosts.
func (m *Machine) stopSwitching(g *group) {
	if g.Switching {
		g.Switching = false
		m.markChanged(g)
	}
}

// removeHost removes a host from its group, whether it is a member or prepared.
func (m *Machine) removeHost(g *group, h *host, c Cause) {
	for rank := range g.Ranks {
		s := &g.Ranks[rank]
		switch h.Info.Name {
		case s.Host:
			m.removeMember(g, rank, h, c)
			return
		case s.PreparedHost:
			m.cancelPrepared(g, rank)
			m.renewPreparedEpoch(g)
			m.markDirty(g)
			return
		}
	}
}

// removeMember removes the member of a rank from its group.
func (m *Machine) removeMember(g *group, rank int, h *host, c Cause) {
	if g.State == view.StateServing {
		m.suspend(g, c)
	}
	if g.State == view.StateSuspended && g.Cause == CauseMemberSilent {
		g.Cause = c
	}
	g.Ranks[rank].clear()
	m.release(h, g.StopRevision)
	m.markChanged(g)
	m.markDirty(g)
}
