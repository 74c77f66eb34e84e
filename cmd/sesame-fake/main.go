// Command sesame-fake runs simulated upstreams for tests and the demo.
package main

import (
	"github.com/alecthomas/kong"
)

// cli holds the subcommands.
type cli struct {
	Engine  engineCommand  `cmd:"" help:"Run one member of a simulated model engine."`
	Service serviceCommand `cmd:"" help:"Run one host of a simulated plain service."`
}

func main() {
	var c cli
	k := kong.Parse(&c,
		kong.Name("sesame-fake"),
		kong.Description("Simulated upstreams for tests and the demo."),
		kong.UsageOnError(),
	)
	k.FatalIfErrorf(k.Run())
}
