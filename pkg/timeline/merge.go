package timeline

import (
	"cmp"
	"slices"
)

// Merge sorts the events of several processes into one causal order. It removes
// the duplicate of an event that is in two lists, such as a ring and a file.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	return slices.CompactFunc(all, func(a, b Event) bool { return a == b })
}
