// Command sesame-gate is not built yet.
package main

import (
	"fmt"
	"net"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "sesame-gate: not built yet", net.IPv4len)
	os.Exit(1)
}
