package matrix

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/prove"
)

var (
	runMatrix = flag.Bool("matrix", false, "run every row and print the table")
	seedFlag  = flag.Uint64("seed", 1, "seed of the rows")
	rowsFlag  = flag.String("rows", "", "run only rows whose area/fault/step matches")
)

// TestMain parses the flags before the tests run.
func TestMain(m *testing.M) {
	flag.Parse()
	status := m.Run()
	os.Exit(status)
}

// TestMatrix runs the rows and prints the table if the flag -matrix is set. It fails
// if a row fails that is not listed as a known failure.
func TestMatrix(t *testing.T) {
	if !*runMatrix {
		checkRowsComplete(t)
		return
	}
	// The file is in the repository's root, which may also be the working folder.
	path := knownFailuresFile
	if _, err := os.Stat("KNOWN-RED.txt"); err == nil {
		path = "KNOWN-RED.txt"
	}
	known, err := readKnownFailures(path)
	if err != nil {
		t.Fatal(err)
	}
	wanted := regexp.MustCompile(*rowsFlag)
	results := make(chan result)
	go runAll(known, wanted, results)
	var all []result
	for r := range results {
		fmt.Println(r)
		all = append(all, r)
	}
	if failures := summarize(os.Stdout, all); failures > 0 {
		t.Errorf("%d rows are red and not listed in KNOWN-RED.txt", failures)
	}
}

// parallelRows is the number of rows that run at the same time.
const parallelRows = 6

// runAll runs rows in parallel and sends their results in the order of the rows.
func runAll(known knownFailures, wanted *regexp.Regexp, results chan<- result) {
	defer close(results)
	var queue []chan result
	slots := make(chan struct{}, parallelRows)
	for _, row := range Rows() {
		if !wanted.MatchString(rowKey(row)) {
			continue
		}
		out := make(chan result, 1)
		queue = append(queue, out)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out <- runRow(row, *seedFlag, known)
		}()
	}
	for _, out := range queue {
		results <- <-out
	}
}

// checkRowsComplete fails unless every promise has rows and every row is complete and
// has a unique name.
func checkRowsComplete(t *testing.T) {
	seen := make(map[string]int)
	promised := make(map[prove.Promise]bool)
	for _, row := range Rows() {
		if row.Run == nil || row.Area == "" || row.Fault == "" || row.Step == "" || strings.ContainsAny(rowKey(row), "\n") {
			t.Errorf("row %q lacks its scenario, area, fault or step, or has a line break in its key", rowKey(row))
		}
		name := fmt.Sprintf("%d %s", row.Promise, rowKey(row))
		seen[name]++
		if seen[name] > 1 {
			t.Errorf("row %q is defined more than once", name)
		}
		promised[row.Promise] = true
	}
	for i, name := range promises {
		if !promised[prove.Promise(i+1)] {
			t.Errorf("promise %d, %s, has no row", i+1, name)
		}
	}
}
