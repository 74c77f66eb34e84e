package formation

import "github.com/sesamemux/sesamemux/pkg/catalog"

// modelPlan is a model with its part of the load.
type modelPlan struct {
	catalog.Model
	weight float64 // engine time that the model's requests need, relative to the others
}

// targets divides a number of hosts between the models: whole groups, each
// next one to the model with the most load for each group it has.
func targets(models []modelPlan, hosts int) map[string]int {
	want := map[string]int{}
	for {
		best := -1
		bestLoad := 0.0
		for i, m := range models {
			if m.GroupSize <= 0 || m.GroupSize > hosts {
				continue
			}
			if load := m.weight / float64(want[m.Name]+1); best < 0 || load > bestLoad {
				best, bestLoad = i, load
			}
		}
		if best < 0 {
			return want
		}
		want[models[best].Name]++
		hosts -= models[best].GroupSize
	}
}
