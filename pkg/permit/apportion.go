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

// apportion divides n permits in proportion to weight among at most limit gates, those
// of the highest weight, and returns the permits by gate. Each part is rounded down;
// the permits left over go one by one to the gates in order of weight.
func apportion(n, limit int, claims []claim) map[view.GateName]int {
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.rank, b.rank))
	})
	claims = claims[:min(limit, len(claims))]
	total := 0
	for _, w := range claims {
		total += w.weight
	}
	left := n
	for i := range claims {
		claims[i].permits = n * claims[i].weight / total
		left -= claims[i].permits
	}
	for i := 0; left > 0; i, left = (i+1)%len(claims), left-1 {
		claims[i].permits++
	}
	parts := make(map[view.GateName]int, len(claims))
	for _, w := range claims {
		parts[w.gate] = w.permits
	}
	return parts
}
