package matrix

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

// verdict is how one row ended.
type verdict string

const (
	pass     verdict = "pass"
	red      verdict = "red"
	knownRed verdict = "known red"
)

// result is one played row.
type result struct {
	row      prove.Row
	seed     uint64
	verdict  verdict
	guarded  error // what the run showed
	contrast string
}

// play runs a row, and its run without protection.
func play(row prove.Row, seed uint64, known knownReds) result {
	r := result{row: row, seed: seed, verdict: pass, contrast: "no switch"}
	r.guarded = row.Run(seed)
	if r.guarded != nil {
		r.verdict = red
	}
	if row.Unguarded != nil {
		r.contrast = contrast(row, seed)
	}
	if r.contrast == noContrast {
		r.verdict = red
	}
	if r.verdict == red && known.lists(row) {
		r.verdict = knownRed
	}
	return r
}

const (
	// noContrast says that the check did not see the missing protection.
	noContrast = "PASSES WITHOUT PROTECTION"
	// contrastSeeds is on how many seeds, from the row's on, the fault may need
	// to strike where the protection matters.
	contrastSeeds = 5
)

// contrast plays a row without its protection until it fails.
func contrast(row prove.Row, seed uint64) string {
	for i := range uint64(contrastSeeds) {
		if row.Unguarded(seed+i) == nil {
			continue
		}
		if i == 0 {
			return "fails without protection"
		}
		return fmt.Sprintf("fails without protection at seed %d", seed+i)
	}
	return noContrast
}

// String gives the row as one line of the table.
func (r result) String() string {
	s := fmt.Sprintf("%-9s %2d %-10s %-45s %-45s seed %-4d %s",
		r.verdict, r.row.Promise, r.row.Area, r.row.Fault, r.row.Step, r.seed, r.contrast)
	if r.guarded != nil {
		s += "\n          " + r.guarded.Error()
	}
	return s
}
