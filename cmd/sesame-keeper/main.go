// Command sesame-keeper is not built yet.
package main

import (
	"fmt"
	"net"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "sesame-keeper: not built yet", net.IPv4len)
	os.Exit(1)
}
