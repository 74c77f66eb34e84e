package loadorder

// PendingLoad describes what a group has yet to load.
type PendingLoad struct {
	Epoch        uint64 // epoch of the group; lower is older
	Down         bool   // the group takes no work until it is loaded
	BelowMinimum bool   // its model has fewer groups that take work than its declared minimum
	Priority     int    // priority of the model; higher first
	Remaining    int    // members without weights
	Ready        int    // members that wait and could start to load at once
}

// Before reports whether load a comes before load b. In order of importance: groups that are down,
// models below their minimum, higher priority, fewer members left to load, older groups.
func Before(a, b PendingLoad) bool {
	switch {
	case a.Down != b.Down:
		return a.Down
	case a.BelowMinimum != b.BelowMinimum:
		return a.BelowMinimum
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.Remaining != b.Remaining:
		return a.Remaining < b.Remaining
	default:
		return a.Epoch < b.Epoch
	}
}
