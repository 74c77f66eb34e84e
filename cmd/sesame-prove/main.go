// Command sesame-prove is not built yet.
package main

import (
	"fmt"
	"net"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "sesame-prove: not built yet", net.IPv4len)
	os.Exit(1)
}
