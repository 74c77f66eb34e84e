package gatedaemon

import (
	"context"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/serviceproxy"
)

// serviceHandlers implements gate.Handlers for calls of plain services.
type serviceHandlers struct {
	proxy   *serviceproxy.Proxy
	callers *serviceproxy.HandoverHandler
}

// RegisterCallers implements gate.Handlers.
func (s serviceHandlers) RegisterCallers(e *echo.Echo) {
	e.Any(serviceproxy.PathPrefix+"*", echo.WrapHandler(s.callers))
}

// RegisterPeers implements gate.Handlers.
func (s serviceHandlers) RegisterPeers(e *echo.Echo) {
	e.Any(serviceproxy.PathPrefix+"*", echo.WrapHandler(s.proxy))
}

// ViewChanged implements gate.Handlers. It does nothing, as the proxy checks the view in
// force immediately before the first byte.
func (s serviceHandlers) ViewChanged() {}

// Drain implements gate.Handlers.
func (s serviceHandlers) Drain() {}

// Finish implements gate.Handlers.
func (s serviceHandlers) Finish(ctx context.Context) error { return s.proxy.Close(ctx) }
