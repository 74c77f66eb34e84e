// Command sesame-gate serves callers and receives announcements from upstreams.
package main

import (
	"github.com/sesamemux/sesamemux/pkg/gatedaemon"
	"github.com/sesamemux/sesamemux/pkg/program"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

func main() {
	program.RunDaemon[settings.Gate]("sesame-gate", "Serves callers and receives announcements from upstreams.", gatedaemon.Run)
}
