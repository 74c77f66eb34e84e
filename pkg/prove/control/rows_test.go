package control

import (
	"fmt"
	"testing"
)

func TestRows(t *testing.T) {
	for _, row := range Rows() {
		t.Run(fmt.Sprintf("%s %s", row.Fault, row.Step), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				if err := row.Run(seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				if row.Unguarded != nil && row.Unguarded(seed) == nil {
					t.Errorf("seed %d: passes without protection", seed)
				}
			}
		})
	}
}
