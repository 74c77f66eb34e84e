package permit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// rendezvous orders the gates for a target by rendezvous hashing, so that targets
// that only a few gates can share are spread over all gates.
func rendezvous(t view.TargetID, gates []view.GateName) []view.GateName {
	order := slices.Clone(gates)
	weight := make(map[view.GateName]uint64, len(gates))
	for _, g := range gates {
		weight[g] = xxhash.Sum64String(string(t) + "\x00" + string(g))
	}
	slices.SortFunc(order, func(a, b view.GateName) int {
		return cmp.Or(cmp.Compare(weight[b], weight[a]), cmp.Compare(a, b))
	})
	return order
}
