package group

import (
	"slices"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// publishObjects applies the declarations of a set of objects.
func (m *Machine) publishObjects(set object.Set) {
	weights := make(map[string]int64, len(set.Versions))
	for _, v := range set.Versions {
		weights[v.Name] = v.WeightsBytes
	}
	wanted := make(map[string]bool, len(set.ModelGroups))
	for _, want := range set.ModelGroups {
		wanted[want.Name] = true
		m.setSpec(want, weights[want.Version])
	}
	for name, mod := range m.models {
		if !wanted[name] {
			mod.removed = true
			mod.spec.Copies, mod.spec.Minimum, mod.spec.Version = 0, 0, ""
		}
	}
	for _, mod := range m.models {
		m.updateModelCounts(mod)
	}
}

// setSpec sets the declaration of one model group.
func (m *Machine) setSpec(w object.ModelGroup, weights int64) {
	mod := m.models[w.Name]
	if mod == nil {
		mod = newModel()
		m.models[w.Name] = mod
	}
	w.HostsPerGroup = max(1, w.HostsPerGroup)
	mod.spec = w
	mod.adapters = sortedAdapters(w.Adapters)
	mod.weights = weights
	mod.removed = false
}

// updateModelCounts recounts a model's groups after its declaration changed.
func (m *Machine) updateModelCounts(mod *model) {
	mod.counts = counts{}
	for _, g := range mod.groups {
		g.counted = countsOf(g, mod)
		mod.counts.add(g.counted, 1)
	}
}

// updateCounts updates the counts after a group changed.
func (m *Machine) updateCounts(g *group) {
	mod := m.models[g.Model]
	m.servingHosts -= g.counted.takingWork * len(g.Ranks)
	mod.counts.add(g.counted, -1)
	g.counted = countsOf(g, mod)
	mod.counts.add(g.counted, 1)
	m.servingHosts += g.counted.takingWork * len(g.Ranks)
}

// sortedModels returns the models in the order in which they get hosts and loads: higher priority
// first, then by name.
func (m *Machine) sortedModels() []*model {
	all := make([]*model, 0, len(m.models))
	for _, mod := range m.models {
		all = append(all, mod)
	}
	slices.SortFunc(all, func(a, b *model) int {
		if a.spec.Priority != b.spec.Priority {
			return b.spec.Priority - a.spec.Priority
		}
		if a.spec.Name < b.spec.Name {
			return -1
		}
		return 1
	})
	return all
}
