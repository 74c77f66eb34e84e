package loadorder

// PendingLoad is what a group has yet to fetch.
type PendingLoad struct {
	Epoch        uint64 // of the group; lower is older
	Down         bool   // the group takes no work meanwhile
	BelowMinimum bool   // its model has fewer working groups than declared
	Priority     int    // of its model; higher first
	Remaining    int    // members without weights
	Ready        int    // members that wait and could fetch at once
}

// Before tells whether load a comes before b: groups that are down, models
// under their minimum, higher priority, fewer members left, older.
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
