package permit

import (
	"cmp"
	"slices"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// want is one gate's weight in the division of a bound.
type want struct {
	gate   view.GateName
	weight int // relative; at least 1
	rank   int // breaks ties; lower first
	part   int // result
}

// apportion divides n permits by weight with the largest remainders, over at
// most limit gates, and returns the parts by gate.
func apportion(n, limit int, wants []want) map[view.GateName]int {
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.rank, b.rank))
	})
	wants = wants[:min(limit, len(wants))]
	total := 0
	for _, w := range wants {
		total += w.weight
	}
	left := n
	for i := range wants {
		wants[i].part = n * wants[i].weight / total
		left -= wants[i].part
	}
	for i := 0; left > 0; i, left = (i+1)%len(wants), left-1 {
		wants[i].part++
	}
	parts := make(map[view.GateName]int, len(wants))
	for _, w := range wants {
		parts[w.gate] = w.part
	}
	return parts
}
