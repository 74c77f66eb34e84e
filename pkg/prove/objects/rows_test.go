package objects

import (
	"fmt"
	"testing"
)

const seeds = 3

func TestRows(t *testing.T) {
	for _, r := range Rows() {
		t.Run(fmt.Sprintf("%s/%s", r.Fault, r.Step), func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := r.Run(seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				if r.Unguarded != nil && r.Unguarded(seed) == nil {
					t.Errorf("seed %d: passes without protection", seed)
				}
			}
		})
	}
}
