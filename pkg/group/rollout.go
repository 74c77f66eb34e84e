package group

import "github.com/sesamemux/sesamemux/pkg/view"

// rollOut moves groups to the wanted version and adapters. Groups that take no
// work change at once; of the others as many at a time as the weights store
// feeds, and never under the minimum.
func (m *Machine) rollOut(mod *model) {
	if mod.tally.outdated == 0 {
		mod.blocked = false
		return
	}
	quota := m.rolloutQuota(mod)
	if quota <= 0 && mod.tally.retarget == 0 {
		mod.blocked = true
	}
	for _, g := range mod.sorted() {
		if g.State == view.StateDissolving || g.Retarget || !mod.outdated(g) {
			continue
		}
		if g.takesWork() {
			if quota <= 0 {
				continue
			}
			quota--
		}
		m.change(g, mod)
	}
}

// rolloutQuota is how many groups may stop taking work now to be changed.
func (m *Machine) rolloutQuota(mod *model) int {
	if m.opts.Unsafe.IgnoreMinimum {
		return mod.tally.taking
	}
	batch := max(1, m.opts.slots()/mod.want.HostsPerGroup)
	spare := mod.tally.taking - mod.want.Minimum
	if mod.removed {
		return spare
	}
	return min(spare, batch-mod.tally.retarget)
}

// change begins to make a group what is wanted.
func (m *Machine) change(g *group, mod *model) {
	if mod.reshaped(g) {
		m.dissolve(g, CauseRollout)
		return
	}
	m.stopWork(g, CauseRollout)
	g.Retarget = true
	m.alter(g)
	m.recount(g)
	m.touch(g)
}

// retarget gives a drained group the wanted version and adapters.
func (m *Machine) retarget(g *group) {
	if !m.settled(g) {
		return
	}
	mod := m.models[g.Model]
	m.cancelNexts(g)
	g.Retarget = false
	g.Version = mod.want.Version
	g.Adapters = mod.adapters
	g.Weights = mod.weights
	g.Epoch = m.nextEpoch()
	for rank := range g.Seats {
		if h := m.seated(g, rank); h != nil {
			m.setRole(h, g.role(rank, g.Epoch))
		}
	}
	m.setState(g, view.StateForming)
	m.alter(g)
	m.touch(g)
}
