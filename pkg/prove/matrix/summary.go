package matrix

import (
	"fmt"
	"io"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

// promises holds the printed names of the promises, in order.
var promises = []string{
	"whole groups", "one group per host", "cold start bound", "drained domain",
	"own whole answer", "true not-run", "once only", "leaving upstream",
	"graceful shutdown", "accepted is in force",
}

// tally counts the verdicts of one promise.
type tally struct {
	passed, failed, known, failUnguarded int
}

// summarize writes a line for each promise and returns the number of failed rows that
// are not known failures. A promise none of whose rows ran is printed as not run.
func summarize(w io.Writer, results []result) int {
	tallies := make([]tally, len(promises))
	for _, r := range results {
		tallies[r.row.Promise-prove.WholeGroups].add(r)
	}
	failures := 0
	fmt.Fprintln(w)
	for i, t := range tallies {
		failures += t.failed
		state := fmt.Sprintf("%3d pass, %d red, %d known red; %d fail without protection", t.passed, t.failed, t.known, t.failUnguarded)
		if t == (tally{}) {
			state = "not run"
		}
		fmt.Fprintf(w, "promise %2d %-22s %s\n", i+1, promises[i], state)
	}
	return failures
}

func (t *tally) add(r result) {
	switch r.verdict {
	case pass:
		t.passed++
	case failed:
		t.failed++
	case knownFailure:
		t.known++
	}
	if r.row.Unguarded != nil && r.verdict == pass {
		t.failUnguarded++
	}
}
