package group

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/object"
)

func (m *Machine) publishObjects(set object.Set) {
	weights := make(map[string]int64, len(set.Versions))
	for _, v := range set.Versions {
		weights[v.Name] = v.WeightsBytes
	}
	wanted := make(map[string]bool, len(set.ModelGroups))
	for _, want := range set.ModelGroups {
		wanted[want.Name] = true
		m.want(want, weights[want.Version])
	}
	for name, mod := range m.models {
		if !wanted[name] {
			mod.removed = true
			mod.want.Copies, mod.want.Minimum, mod.want.Version = 0, 0, ""
		}
	}
	for _, mod := range m.models {
		m.recountModel(mod)
	}
}

// want sets what is wanted of one model group.
func (m *Machine) want(w object.ModelGroup, weights int64) {
	mod := m.models[w.Name]
	if mod == nil {
		mod = newModel()
		m.models[w.Name] = mod
	}
	w.HostsPerGroup = max(1, w.HostsPerGroup)
	mod.want = w
	mod.adapters = sortedAdapters(w.Adapters)
	mod.weights = weights
	mod.removed = false
}

// recountModel follows a change of what is wanted.
func (m *Machine) recountModel(mod *model) {
	mod.tally = tally{}
	for _, g := range mod.groups {
		g.counted = tallyOf(g, mod)
		mod.tally.add(g.counted, 1)
	}
}

// recount follows a change of a group.
func (m *Machine) recount(g *group) {
	mod := m.models[g.Model]
	m.busy -= g.counted.taking * len(g.Seats)
	mod.tally.add(g.counted, -1)
	g.counted = tallyOf(g, mod)
	mod.tally.add(g.counted, 1)
	m.busy += g.counted.taking * len(g.Seats)
}

// sortedModels gives the models in the order in which they get hosts and
// loads: higher priority first.
func (m *Machine) sortedModels() []*model {
	all := make([]*model, 0, len(m.models))
	for _, mod := range m.models {
		all = append(all, mod)
	}
	slices.SortFunc(all, func(a, b *model) int {
		if a.want.Priority != b.want.Priority {
			return b.want.Priority - a.want.Priority
		}
		if a.want.Name < b.want.Name {
			return -1
		}
		return 1
	})
	return all
}
