package formation

import "github.com/sesamemux/sesamemux/pkg/catalog"

// modelPlan is a model with its part of the load.
type modelPlan struct {
	catalog.Model
	weight float64 // engine time that the model's requests need, relative to the others
}

// targets divides a number of hosts between the models: whole groups, each
// next one to the model that gains most by it.
func targets(models []modelPlan, hosts int) map[string]int {
	want := map[string]int{}
	for {
		best := -1
		bestGain := 0.0
		for i, m := range models {
			if m.GroupSize <= 0 || m.GroupSize > hosts {
				continue
			}
			if g := gain(m, want[m.Name]); best < 0 || g > bestGain {
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
