package rpc

import (
	"fmt"
	"strings"

	"github.com/charmbracelet/log"
)

// connLogger logs the messages of the JSON-RPC library about one connection. Without it the
// library would write unstructured text to standard error.
type connLogger struct {
	logger *log.Logger // nil: messages are discarded
	remote string
}

// Printf implements jsonrpc2.Logger.
func (c connLogger) Printf(format string, args ...any) {
	if c.logger == nil {
		return
	}
	c.logger.Warn("rpc connection failed", "remote", c.remote, "err", strings.TrimSpace(fmt.Sprintf(format, args...)))
}
