package matrix

import (
	"fmt"
	"io"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

// promises names the points of the brief, in order.
var promises = []string{
	"whole groups", "one group per host", "cold start bound", "drained domain",
	"own whole answer", "true not-run", "once only", "leaving upstream",
	"graceful shutdown", "accepted is in force",
}

// tally counts the verdicts of one promise.
type tally struct {
	passed, red, known, contrasted int
}

// summarize writes a line for each promise and returns the number of reds that
// are not listed. A promise without rows is said not to be run.
func summarize(w io.Writer, results []result) int {
	tallies := make([]tally, len(promises))
	for _, r := range results {
		tallies[r.row.Promise-prove.WholeGroups].add(r)
	}
	reds := 0
	fmt.Fprintln(w)
	for i, t := range tallies {
		reds += t.red
		state := fmt.Sprintf("%3d pass, %d red, %d known red; %d fail without protection", t.passed, t.red, t.known, t.contrasted)
		if t == (tally{}) {
			state = "not run"
		}
		fmt.Fprintf(w, "promise %2d %-22s %s\n", i+1, promises[i], state)
	}
	return reds
}

func (t *tally) add(r result) {
	switch r.verdict {
	case pass:
		t.passed++
	case red:
		t.red++
	case knownRed:
		t.known++
	}
	if r.row.Unguarded != nil && r.verdict == pass {
		t.contrasted++
	}
}
