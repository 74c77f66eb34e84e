package group

import "slices"

// alter marks a group as changed, to be published at the end of the step.
func (m *Machine) alter(g *group) {
	if !g.changed {
		g.changed = true
		m.altered = append(m.altered, g)
	}
}

// changedGroups gives the groups that changed in this step, by ID.
func (m *Machine) changedGroups() []*group {
	altered := m.altered
	m.altered = nil
	live := altered[:0]
	for _, g := range altered {
		if m.groups[g.ID] == g {
			live = append(live, g)
		}
	}
	slices.SortFunc(live, byID)
	return live
}
