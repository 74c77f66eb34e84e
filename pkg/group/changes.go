package group

import "slices"

// markChanged schedules a group to be published at the end of the step.
func (m *Machine) markChanged(g *group) {
	if !g.changed {
		g.changed = true
		m.changed = append(m.changed, g)
	}
}

// changedGroups returns the groups that changed in this step and still exist, by ID.
func (m *Machine) changedGroups() []*group {
	altered := m.changed
	m.changed = nil
	live := altered[:0]
	for _, g := range altered {
		if m.groups[g.ID] == g {
			live = append(live, g)
		}
	}
	slices.SortFunc(live, byID)
	return live
}
