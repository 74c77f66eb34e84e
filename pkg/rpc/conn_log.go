package rpc

import (
	"fmt"
	"strings"

	"github.com/charmbracelet/log"
)

// connLogger takes what the JSON-RPC library tells of one connection, so that no
// free text reaches the standard error.
type connLogger struct {
	logger *log.Logger // nil: dropped
	remote string
}

// Printf implements jsonrpc2.Logger.
func (c connLogger) Printf(format string, args ...any) {
	if c.logger == nil {
		return
	}
	c.logger.Warn("rpc connection broke", "remote", c.remote, "err", strings.TrimSpace(fmt.Sprintf(format, args...)))
}
