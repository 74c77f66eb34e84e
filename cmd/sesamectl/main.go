// Command sesamectl manages and inspects a sesamemux deployment.
package main

import (
	"os"

	"github.com/sesamemux/sesamemux/pkg/ctl"
)

func main() {
	code := ctl.Run(os.Args[1:], ctl.Environment{Stdout: os.Stdout, Stderr: os.Stderr, Environ: os.Environ()})
	os.Exit(int(code))
}
