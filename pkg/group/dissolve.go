package group

import "github.com/sesamemux/sesamemux/pkg/view"

// dissolve starts to dissolve a group. Its hosts become free once nothing runs on them and no
// gate's view shows the group as serving.
func (m *Machine) dissolve(g *group, c Cause) {
	if g.State == view.StateDissolving {
		return
	}
	serving := g.State == view.StateServing
	m.models[g.Model].inDomain[g.FailureDomain]--
	m.stopTakingWork(g, c)
	m.setState(g, view.StateDissolving)
	if !serving {
		g.Settled = true
	}
	m.cancelAllPrepared(g)
	m.updateCounts(g)
	m.markDirty(g)
}

// finishDissolving frees the hosts of a dissolving group as soon as that is safe.
func (m *Machine) finishDissolving(g *group) {
	if !m.drainComplete(g) {
		return
	}
	for rank := range g.Ranks {
		if h := m.member(g, rank); h != nil {
			m.release(h, g.StopRevision)
		}
	}
	m.removeGroup(g)
}

// removeGroup removes a group whose hosts are free.
func (m *Machine) removeGroup(g *group) {
	mod := m.models[g.Model]
	m.servingHosts -= g.counted.takingWork * len(g.Ranks)
	mod.counts.add(g.counted, -1)
	delete(mod.groups, g.ID)
	delete(m.domains[g.FabricDomain].groups, g.ID)
	delete(m.groups, g.ID)
	delete(m.unsteady, g.ID)
	delete(m.awaitingBarrier, g.ID)
	m.deleted = append(m.deleted, g.ID)
}
