package formation

import "math"

// value is what a number of groups of a model is worth: the part of its load
// that they serve in time. It grows with the groups up to the load and little
// beyond, where it stands for shorter waits.
func value(m modelPlan, groups int) float64 {
	if m.weight <= 0 || groups <= 0 {
		return 0
	}
	x := float64(groups) / m.weight
	return m.weight * x / math.Cbrt(1+x*x*x)
}

// gain is what one more group is worth.
func gain(m modelPlan, groups int) float64 { return value(m, groups+1) - value(m, groups) }
