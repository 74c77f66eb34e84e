package formation

import "github.com/sesamemux/sesamemux/pkg/catalog"

// modelPlan is a model with its share of the load.
type modelPlan struct {
	catalog.Model
	load float64 // engine time that the model's requests require, relative to the other models
}

// allocateGroups divides a number of hosts between the models. It assigns whole groups, each to the
// model with the highest marginal gain.
func allocateGroups(models []modelPlan, hosts int) map[string]int {
	want := map[string]int{}
	for {
		best := -1
		bestGain := 0.0
		for i, m := range models {
			if m.GroupSize <= 0 || m.GroupSize > hosts {
				continue
			}
			if g := marginalGain(m, want[m.Name]); best < 0 || g > bestGain {
				best, bestGain = i, g
			}
		}
		if best < 0 {
			return want
		}
		want[models[best].Name]++
		hosts -= models[best].GroupSize
	}
}
