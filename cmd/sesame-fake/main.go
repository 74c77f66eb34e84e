// Command sesame-fake runs small stand-ins of upstreams for tests and the demo.
package main

import (
	"github.com/alecthomas/kong"
)

// cli holds the subcommands.
type cli struct {
	Engine  engineCommand  `cmd:"" help:"Run one member of a model engine."`
	Service serviceCommand `cmd:"" help:"Run one host of a plain service."`
}

func main() {
	var c cli
	k := kong.Parse(&c,
		kong.Name("sesame-fake"),
		kong.Description("Small stand-ins of upstreams, for tests and the demo."),
		kong.UsageOnError(),
	)
	k.FatalIfErrorf(k.Run())
}
