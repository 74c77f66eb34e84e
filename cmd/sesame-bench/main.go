// Command sesame-bench runs benchmarks against their baselines and prints the
// results as ratios.
package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"runtime"
	"slices"

	"github.com/alecthomas/kong"

	"github.com/sesamemux/sesamemux/pkg/bench"
	"github.com/sesamemux/sesamemux/pkg/bench/consensus"
	"github.com/sesamemux/sesamemux/pkg/bench/control"
	"github.com/sesamemux/sesamemux/pkg/bench/gates"
	"github.com/sesamemux/sesamemux/pkg/bench/groups"
	"github.com/sesamemux/sesamemux/pkg/bench/once"
)

// cli holds the command-line flags.
type cli struct {
	Only string `help:"Run only the benchmarks whose area/name matches." placeholder:"REGEXP" default:""`
	List bool   `help:"List the benchmarks and exit."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("sesame-bench"), kong.Description("Runs benchmarks of sesamemux against baselines in the same run."), kong.UsageOnError())
	only, err := regexp.Compile(c.Only)
	k.FatalIfErrorf(err)
	if !run(only, c.List) {
		os.Exit(1)
	}
}

// measures returns the benchmarks of all areas.
func measures() []bench.Measure {
	return slices.Concat(consensus.Measures(), control.Measures(), gates.Measures(), groups.Measures(), once.Measures())
}

// run runs the matching benchmarks and prints their results. It returns false if a
// benchmark failed.
func run(only *regexp.Regexp, list bool) bool {
	fmt.Printf("machine: %s/%s, %d cores, %s\n", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	ok := true
	for _, m := range measures() {
		name := m.Area + "/" + m.Name
		if !only.MatchString(name) {
			continue
		}
		fmt.Printf("\n%s\n", name)
		if list {
			continue
		}
		variants, err := m.Run(context.Background())
		bench.Print(os.Stdout, variants)
		if err != nil {
			fmt.Println("  FAILED:", err)
			ok = false
		}
	}
	return ok
}
