package gates

import (
	"fmt"
	"testing"
)

// seeds holds the seeds with which every row runs.
var seeds = []uint64{1, 2, 3}

func TestRows(t *testing.T) {
	for _, r := range Rows() {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%d/%s/%s/%d", r.Promise, r.Fault, r.Step, seed), func(t *testing.T) {
				t.Parallel()
				if err := r.Run(seed); err != nil {
					t.Error(err)
				}
				if r.Unguarded != nil && r.Unguarded(seed) == nil {
					t.Error("passes without protection")
				}
			})
		}
	}
}
