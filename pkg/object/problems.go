package object

import (
	"cmp"
	"slices"
)

// sortProblems orders problems by line, with those without a line last.
func sortProblems(list []Problem) {
	slices.SortStableFunc(list, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(lineOrder(a), lineOrder(b)),
			cmp.Compare(a.Object, b.Object),
			cmp.Compare(a.Field, b.Field),
		)
	})
}

func lineOrder(p Problem) int {
	if p.Line == 0 {
		return int(^uint(0) >> 1)
	}
	return p.Line
}
