// Command sesame-gate serves callers and takes upstreams' announcements.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/sesamemux/sesamemux/pkg/gatedaemon"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

// cli holds the flags.
type cli struct {
	settings.Flags
}

func main() {
	var c cli
	kong.Parse(&c,
		kong.Name("sesame-gate"),
		kong.Description("Serves callers and takes upstreams' announcements. Settings come from an INI file, the environment and --set."),
		kong.UsageOnError(),
	)
	s, run, exit := settings.Prepare[settings.Gate](c.Flags, os.Environ(), os.Stdout, os.Stderr)
	if !run {
		os.Exit(exit)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := gatedaemon.Run(ctx, s, os.Stderr); err != nil {
		os.Exit(1)
	}
}
