package permit

// DivideEvenly divides waiting requests evenly over targets, for SetQueued. Few
// requests show on few targets, so that they don't move permits everywhere.
func DivideEvenly(waiting, targets int) []int {
	parts := make([]int, targets)
	for i := range parts {
		parts[i] = waiting / targets
		if i < waiting%targets {
			parts[i]++
		}
	}
	return parts
}
