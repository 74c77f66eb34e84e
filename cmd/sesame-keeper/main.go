// Command sesame-keeper runs one replica of the system's state.
package main

import (
	"github.com/sesamemux/sesamemux/pkg/keeper"
	"github.com/sesamemux/sesamemux/pkg/program"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

func main() {
	program.RunDaemon[settings.Keeper]("sesame-keeper", "Runs one replica of the system's state.", keeper.RunDaemon)
}
