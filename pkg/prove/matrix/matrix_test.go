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
	runMatrix = flag.Bool("matrix", false, "play every row and print the table")
	seedFlag  = flag.Uint64("seed", 1, "seed of the rows")
	rowsFlag  = flag.String("rows", "", "play only rows whose area/fault/step matches")
)

// TestMain prints the matrix when asked for; the exit status tells of reds that
// are not listed.
func TestMain(m *testing.M) {
	flag.Parse()
	status := m.Run()
	os.Exit(status)
}

// TestMatrix plays the rows.
func TestMatrix(t *testing.T) {
	if !*runMatrix {
		checkForm(t)
		return
	}
	// The file lies at the root, also for a binary that is started there.
	path := knownRedFile
	if _, err := os.Stat("KNOWN-RED.txt"); err == nil {
		path = "KNOWN-RED.txt"
	}
	known, err := readKnownReds(path)
	if err != nil {
		t.Fatal(err)
	}
	wanted := regexp.MustCompile(*rowsFlag)
	results := make(chan result)
	go playAll(known, wanted, results)
	var all []result
	for r := range results {
		fmt.Println(r)
		all = append(all, r)
	}
	if reds := summarize(os.Stdout, all); reds > 0 {
		t.Errorf("%d rows are red and not listed in KNOWN-RED.txt", reds)
	}
}

// parallelRows is how many rows run at the same time.
const parallelRows = 6

// playAll plays rows side by side and gives the results in order.
func playAll(known knownReds, wanted *regexp.Regexp, results chan<- result) {
	defer close(results)
	var queue []chan result
	slots := make(chan struct{}, parallelRows)
	for _, row := range Rows() {
		if !wanted.MatchString(key(row)) {
			continue
		}
		out := make(chan result, 1)
		queue = append(queue, out)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out <- play(row, *seedFlag, known)
		}()
	}
	for _, out := range queue {
		results <- <-out
	}
}

// checkForm fails unless every promise has rows and every row can be named.
func checkForm(t *testing.T) {
	seen := make(map[string]int)
	promised := make(map[prove.Promise]bool)
	for _, row := range Rows() {
		if row.Run == nil || row.Area == "" || row.Fault == "" || row.Step == "" || strings.ContainsAny(key(row), "\n") {
			t.Errorf("row %q is not complete", key(row))
		}
		name := fmt.Sprintf("%d %s", row.Promise, key(row))
		seen[name]++
		if seen[name] > 1 {
			t.Errorf("row %q stands twice", name)
		}
		promised[row.Promise] = true
	}
	for i, name := range promises {
		if !promised[prove.Promise(i+1)] {
			t.Errorf("promise %d, %s, has no row", i+1, name)
		}
	}
}
