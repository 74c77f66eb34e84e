package matrix

import (
	"fmt"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

// verdict is the outcome of one row.
type verdict string

const (
	pass         verdict = "pass"
	failed       verdict = "red"
	knownFailure verdict = "known red"
)

// result is the result of one row.
type result struct {
	row       prove.Row
	seed      uint64
	verdict   verdict
	err       error // of the guarded run
	unguarded string
}

// runRow runs a row with its protection and, where the row has such a run, without.
func runRow(row prove.Row, seed uint64, known knownFailures) result {
	r := result{row: row, seed: seed, verdict: pass, unguarded: "no switch"}
	r.err = row.Run(seed)
	if r.err != nil {
		r.verdict = failed
	}
	if row.Unguarded != nil {
		r.unguarded = runUnguarded(row, seed)
	}
	if r.unguarded == passesUnguarded {
		r.verdict = failed
	}
	if r.verdict == failed && known.contains(row) {
		r.verdict = knownFailure
	}
	return r
}

const (
	// passesUnguarded is printed if the check did not detect the missing protection.
	passesUnguarded = "PASSES WITHOUT PROTECTION"
	// maxUnguardedSeeds is the number of seeds to try until a run without protection
	// fails. At some seeds the fault strikes where the protection makes no difference.
	maxUnguardedSeeds = 5
)

// runUnguarded runs a row without its protection until it fails.
func runUnguarded(row prove.Row, seed uint64) string {
	for i := range uint64(maxUnguardedSeeds) {
		if row.Unguarded(seed+i) == nil {
			continue
		}
		if i == 0 {
			return "fails without protection"
		}
		return fmt.Sprintf("fails without protection at seed %d", seed+i)
	}
	return passesUnguarded
}

// String returns the row as a line of the table.
func (r result) String() string {
	s := fmt.Sprintf("%-9s %2d %-10s %-45s %-45s seed %-4d %s",
		r.verdict, r.row.Promise, r.row.Area, r.row.Fault, r.row.Step, r.seed, r.unguarded)
	if r.err != nil {
		s += "\n          " + r.err.Error()
	}
	return s
}
