// Command sesame-gate serves callers and takes upstreams' announcements.
package main

import (
	"github.com/sesamemux/sesamemux/pkg/gatedaemon"
	"github.com/sesamemux/sesamemux/pkg/program"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

func main() {
	program.RunDaemon[settings.Gate]("sesame-gate", "Serves callers and takes upstreams' announcements.", gatedaemon.Run)
}
