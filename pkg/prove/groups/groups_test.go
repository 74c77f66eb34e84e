package groups

import (
	"fmt"
	"testing"
)

const seeds = 3

func TestRows(t *testing.T) {
	for _, r := range Rows() {
		t.Run(fmt.Sprintf("%s %s", r.Fault, r.Step), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := r.Run(seed); err != nil {
					t.Errorf("promise %d, seed %d: %v", r.Promise, seed, err)
				}
				if r.Unguarded != nil && r.Unguarded(seed) == nil {
					t.Errorf("promise %d, seed %d: passes without protection", r.Promise, seed)
				}
			}
		})
	}
}
