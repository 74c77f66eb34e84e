package once

import (
	"fmt"
	"testing"
)

// seeds is the number of seeds with which each row runs.
const seeds = 3

func TestRows(t *testing.T) {
	for _, r := range Rows() {
		t.Run(fmt.Sprintf("%d/%s/%s", r.Promise, r.Fault, r.Step), func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := r.Run(seed); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
			if r.Unguarded == nil {
				return
			}
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := r.Unguarded(seed); err == nil {
					t.Fatalf("seed %d: passes without protection", seed)
				}
			}
		})
	}
}
