package group

import "github.com/sesamemux/sesamemux/pkg/view"

// rollOut moves groups to the declared version and adapters. Groups that take no work change at
// once. Of the others only as many change at the same time as the weights store can supply, and
// never so many that the model falls below its minimum.
func (m *Machine) rollOut(mod *model) {
	if mod.counts.outdated == 0 {
		mod.blocked = false
		return
	}
	quota := m.rolloutQuota(mod)
	if quota <= 0 && mod.counts.updating == 0 {
		mod.blocked = true
	}
	for _, g := range mod.sorted() {
		if g.State == view.StateDissolving || g.Updating || !mod.outdated(g) {
			continue
		}
		if g.takesWork() {
			if quota <= 0 {
				continue
			}
			quota--
		}
		m.updateGroup(g, mod)
	}
}

// rolloutQuota returns how many groups may stop taking work now to be updated.
func (m *Machine) rolloutQuota(mod *model) int {
	if m.opts.Unsafe.IgnoreMinimum {
		return mod.counts.takingWork
	}
	batch := max(1, m.opts.slots()/mod.spec.HostsPerGroup)
	spare := mod.counts.takingWork - mod.spec.Minimum
	if mod.removed {
		return spare
	}
	return min(spare, batch-mod.counts.updating)
}

// updateGroup starts to bring a group to the declaration.
func (m *Machine) updateGroup(g *group, mod *model) {
	if mod.needsRecreation(g) {
		m.dissolve(g, CauseRollout)
		return
	}
	m.stopTakingWork(g, CauseRollout)
	g.Updating = true
	m.markChanged(g)
	m.updateCounts(g)
	m.markDirty(g)
}

// applyTarget assigns a drained group the declared version and adapters.
func (m *Machine) applyTarget(g *group) {
	if !m.drainComplete(g) {
		return
	}
	mod := m.models[g.Model]
	m.cancelAllPrepared(g)
	g.Updating = false
	g.Version = mod.spec.Version
	g.Adapters = mod.adapters
	g.Weights = mod.weights
	g.Epoch = m.nextEpoch()
	for rank := range g.Ranks {
		if h := m.member(g, rank); h != nil {
			m.setRole(h, g.role(rank, g.Epoch))
		}
	}
	m.setState(g, view.StateForming)
	m.markChanged(g)
	m.markDirty(g)
}
