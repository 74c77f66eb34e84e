package group

import "github.com/sesamemux/sesamemux/pkg/view"

// evaluate brings a group as far as its hosts permit. On a group that is as it
// should be it changes nothing.
func (m *Machine) evaluate(g *group) {
	m.dropLostNexts(g)
	m.followOut(g)
	m.followState(g)
	if g.State == view.StateDissolving {
		m.finishDissolving(g)
	} else {
		m.repair(g)
	}
	if m.groups[g.ID] != g {
		return
	}
	m.recount(g)
	m.followIndexes(g)
}

// followIndexes notes whether time or the barrier may change the group.
func (m *Machine) followIndexes(g *group) {
	if m.steady(g) {
		delete(m.active, g.ID)
	} else {
		m.active[g.ID] = g
	}
	if m.passed(g.LeftAt) || g.takesWork() {
		delete(m.behind, g.ID)
	} else {
		m.behind[g.ID] = g
	}
}

// steady tells whether only an event about its hosts or an operator can
// change the group.
func (m *Machine) steady(g *group) bool {
	if !g.takesWork() {
		return false
	}
	for rank := range g.Seats {
		if g.Seats[rank].Next != "" || m.trouble(g, rank) != troubleNone {
			return false
		}
	}
	return true
}

// followState follows what the members report.
func (m *Machine) followState(g *group) {
	if g.State == view.StateDissolving {
		return
	}
	complete := m.complete(g)
	switch {
	case complete && g.State != view.StateServing:
		m.serve(g)
	case !complete && g.State == view.StateServing:
		m.suspend(g, m.causeOf(g))
	case !complete && g.State == view.StateSuspended:
		m.followDark(g)
	case !complete:
		m.setState(g, m.progress(g))
	}
}

// complete tells whether each rank has its host and that host is ready.
func (m *Machine) complete(g *group) bool {
	for rank := range g.Seats {
		h := m.seated(g, rank)
		if h == nil || !h.ready() || h.Role.Epoch != g.Epoch {
			return false
		}
	}
	return true
}

// seated gives the host of a rank, or nil while the seat is vacant.
func (m *Machine) seated(g *group, rank int) *host {
	return g.Seats[rank].host
}

// progress tells how far a group is that did not serve at its epoch yet.
func (m *Machine) progress(g *group) view.GroupState {
	loaded, carried := 0, 0
	for rank := range g.Seats {
		h := m.seated(g, rank)
		if h == nil {
			continue
		}
		if h.loaded() {
			loaded++
		}
		if h.carriesRole() {
			carried++
		}
	}
	switch {
	case loaded == len(g.Seats):
		return view.StateVerifying
	case loaded > 0 || carried > 0:
		return view.StateLoading
	default:
		return view.StateForming
	}
}

// serve lets a group take work.
func (m *Machine) serve(g *group) {
	m.setState(g, view.StateServing)
	g.Served = true
	g.Doubtful = false
	g.Settled = true
	for rank := range g.Seats {
		h := m.seated(g, rank)
		m.leaveQueue(h)
		h.Load = load{}
	}
}

// suspend takes a group out of service because of its members.
func (m *Machine) suspend(g *group, c Cause) {
	m.stopWork(g, c)
	m.setState(g, view.StateSuspended)
	m.followDark(g)
}

// stopWork notes the revision from which a group takes no work, and why. The
// caller changes what makes it take work.
func (m *Machine) stopWork(g *group, c Cause) {
	if !g.takesWork() {
		return
	}
	g.LeftAt = m.rev
	g.Cause = c
	g.DrainedAt = m.now
	g.Settled = false
}

// setState moves a group to another step of its life.
func (m *Machine) setState(g *group, s view.GroupState) {
	if g.State == s {
		return
	}
	g.State = s
	g.Since = m.now
	m.alter(g)
}

// causeOf tells why a group that served is not complete.
func (m *Machine) causeOf(g *group) Cause {
	for rank := range g.Seats {
		h := m.seated(g, rank)
		if h == nil {
			return CauseMemberRestarted
		}
		if !h.Present {
			return CauseMemberSilent
		}
	}
	return CauseMemberFault
}

// followDark notes that no member of a group is heard of.
func (m *Machine) followDark(g *group) {
	for rank := range g.Seats {
		if h := m.seated(g, rank); h != nil && h.Present {
			return
		}
	}
	if len(g.Seats) > 1 {
		g.Cause = CauseAllMembersSilent
	}
}

// followOut follows whether a member was taken out or is leaving.
func (m *Machine) followOut(g *group) {
	out := false
	for rank := range g.Seats {
		h := m.seated(g, rank)
		out = out || h != nil && m.out(h)
	}
	if out == g.Out {
		return
	}
	if out {
		m.stopWork(g, CauseDrain)
	}
	g.Out = out
	m.alter(g)
}

// settled tells whether a draining group's hosts may be disturbed.
func (m *Machine) settled(g *group) bool {
	if !m.passed(g.LeftAt) {
		return false
	}
	if g.State == view.StateDissolving || g.State == view.StateServing {
		return g.Settled || m.now >= g.DrainedAt+view.Time(m.opts.DrainTimeout)
	}
	return true
}
