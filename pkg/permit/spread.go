package permit

// DivideEvenly divides queued requests evenly among targets, for SetQueued. A small
// number appears on few targets only, so that it does not move permits on all.
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
