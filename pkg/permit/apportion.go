package permit

import (
	"cmp"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// claim is one gate's weight in the division of a bound.
type claim struct {
	gate    view.GateName
	weight  int // relative; at least 1
	rank    int // breaks ties; the lower rank comes first
	permits int // result of the division
}

// apportion divides n permits in proportion to weight, by the largest-remainder
// method, among at most limit gates. It returns the permits by gate.
func apportion(n, limit int, wants []claim) map[view.GateName]int {
	slices.SortFunc(wants, func(a, b claim) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.rank, b.rank))
	})
	wants = wants[:min(limit, len(wants))]
	total := 0
	for _, w := range wants {
		total += w.weight
	}
	left := n
	for i := range wants {
		wants[i].permits = n * wants[i].weight / total
		left -= wants[i].permits
	}
	for i := 0; left > 0; i, left = (i+1)%len(wants), left-1 {
		wants[i].permits++
	}
	parts := make(map[view.GateName]int, len(wants))
	for _, w := range wants {
		parts[w.gate] = w.permits
	}
	return parts
}
