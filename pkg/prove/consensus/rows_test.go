package consensus

import (
	"fmt"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

const seeds = 3

func rowName(r prove.Row) string {
	return fmt.Sprintf("%s/%s", r.Fault, r.Step)
}

func TestRows(t *testing.T) {
	for _, r := range Rows() {
		t.Run(rowName(r), func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := r.Run(seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// Each row must fail without its protection, which shows that the check detects the fault.
func TestUnguardedRowsFail(t *testing.T) {
	for _, r := range Rows() {
		if r.Unguarded == nil {
			continue
		}
		t.Run(rowName(r), func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				err := r.Unguarded(seed)
				if err == nil {
					t.Errorf("seed %d: passes without protection", seed)
				}
				t.Logf("seed %d: %v", seed, err)
			}
		})
	}
}

// Random faults don't reach the disabled protection at every seed, but must at some.
func TestRandomFaultsDetectStaleReads(t *testing.T) {
	const tries = 10
	run := scenario(options{unsafe: withoutReadRounds()}, chaos)
	seen := 0
	for seed := uint64(1); seed <= tries; seed++ {
		if run(seed) != nil {
			seen++
		}
	}
	if seen == 0 {
		t.Fatalf("no stale read detected at %d seeds", tries)
	}
	t.Logf("stale reads detected at %d of %d seeds", seen, tries)
}
