// Command sesame-load sends open-loop load to gates, checks every answer and
// writes a report.
//
// Exit codes: 0 the load ran, 1 it could not run, 2 with --check: an answer
// was wrong or nothing was done.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/sesamemux/sesamemux/pkg/load"
)

// Exit codes.
const (
	exitFailed  = 1
	exitChecked = 2
)

const description = `Sends open-loop load to gates, checks every answer and writes a report.

Examples:

  sesame-load --gate 127.0.0.1:8001 --gate 127.0.0.1:8002 --model assistant --rate 20 --duration 30s --html report.html

  sesame-load --gate 127.0.0.1:8001 --once 1 --service records --once-path /stamp --record 127.0.0.1:9101 --duplicates 0.5 --check

Exit codes: 0 the load ran, 1 it could not run, 2 with --check: an answer was wrong or nothing was done.`

func main() {
	var c cli
	k := kong.Must(&c,
		kong.Name("sesame-load"),
		kong.Description(description),
		kong.UsageOnError(),
	)
	kongplete.Complete(k)
	_, err := k.Parse(os.Args[1:])
	k.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := run(ctx, &c)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sesame-load:", err)
		os.Exit(exitFailed)
	}
	if c.Check && !report.Passed() {
		fmt.Fprintf(os.Stderr, "sesame-load: check failed: %d violations, %d requests done\n", report.Violations, report.Done)
		os.Exit(exitChecked)
	}
}

func run(ctx context.Context, c *cli) (*load.Report, error) {
	o, err := c.options()
	if err != nil {
		return nil, err
	}
	r, err := load.New(o, c.checker())
	if err != nil {
		return nil, err
	}
	report, err := r.Run(ctx)
	if err != nil {
		return nil, err
	}
	return report, c.write(report)
}
