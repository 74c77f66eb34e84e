package formation

import "math"

// groupsValue returns the value of a number of groups of a model: the load that they serve in time.
// It grows with the number of groups up to the load and only slightly beyond, where more groups
// shorten queues.
func groupsValue(m modelPlan, groups int) float64 {
	if m.load <= 0 || groups <= 0 {
		return 0
	}
	x := float64(groups) / m.load
	return m.load * x / math.Cbrt(1+x*x*x)
}

// marginalGain returns the value of another group.
func marginalGain(m modelPlan, groups int) float64 {
	return groupsValue(m, groups+1) - groupsValue(m, groups)
}
