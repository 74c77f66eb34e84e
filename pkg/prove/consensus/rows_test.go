package consensus

import (
	"fmt"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

const seeds = 3

func name(r prove.Row) string {
	return fmt.Sprintf("%s/%s", r.Fault, r.Step)
}

func TestRows(t *testing.T) {
	for _, r := range Rows() {
		t.Run(name(r), func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if err := r.Run(seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// Without its protection each row fails, so the check sees the fault.
func TestUnguardedRowsFail(t *testing.T) {
	for _, r := range Rows() {
		if r.Unguarded == nil {
			continue
		}
		t.Run(name(r), func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				err := r.Unguarded(seed)
				if err == nil {
					t.Errorf("seed %d: not seen", seed)
				}
				t.Logf("seed %d: %v", seed, err)
			}
		})
	}
}

// Random faults don't meet a switched-off protection at every seed, but must
// at some.
func TestRandomFaultsSeeStaleReads(t *testing.T) {
	const tries = 10
	run := scenario(options{unsafe: withoutRounds()}, chaos)
	seen := 0
	for seed := uint64(1); seed <= tries; seed++ {
		if run(seed) != nil {
			seen++
		}
	}
	if seen == 0 {
		t.Fatalf("not seen at %d seeds", tries)
	}
	t.Logf("seen at %d of %d seeds", seen, tries)
}
