package group

import "github.com/sesamemux/sesamemux/pkg/view"

// dissolve begins the end of a group. Its hosts become free once nothing runs
// on them and no gate believes that it serves.
func (m *Machine) dissolve(g *group, c Cause) {
	if g.State == view.StateDissolving {
		return
	}
	serving := g.State == view.StateServing
	m.models[g.Model].inDomain[g.FailureDomain]--
	m.stopWork(g, c)
	m.setState(g, view.StateDissolving)
	if !serving {
		g.Settled = true
	}
	m.cancelNexts(g)
	m.recount(g)
	m.touch(g)
}

func (m *Machine) finishDissolving(g *group) {
	if !m.settled(g) {
		return
	}
	for rank := range g.Seats {
		if h := m.seated(g, rank); h != nil {
			m.release(h, g.LeftAt)
		}
	}
	m.removeGroup(g)
}

// removeGroup forgets a group whose hosts are free.
func (m *Machine) removeGroup(g *group) {
	mod := m.models[g.Model]
	m.busy -= g.counted.taking * len(g.Seats)
	mod.tally.add(g.counted, -1)
	delete(mod.groups, g.ID)
	delete(m.domains[g.FabricDomain].groups, g.ID)
	delete(m.groups, g.ID)
	delete(m.active, g.ID)
	delete(m.behind, g.ID)
	m.deleted = append(m.deleted, g.ID)
}
