package gatedaemon

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// activePollInterval is the time between two checks for active requests.
const activePollInterval = 50 * time.Millisecond

// modelHandlers implements gate.Handlers for model requests.
type modelHandlers struct {
	*proxy.Proxy
	targets *targetDialer
}

// ViewChanged implements gate.Handlers.
func (m modelHandlers) ViewChanged() {
	m.targets.updateGates()
	m.Proxy.ViewChanged()
}

// RegisterCallers implements gate.Handlers.
func (m modelHandlers) RegisterCallers(e *echo.Echo) { m.Register(e) }

// RegisterPeers implements gate.Handlers.
func (m modelHandlers) RegisterPeers(e *echo.Echo) { m.RegisterPeer(e) }

// Finish implements gate.Handlers.
func (m modelHandlers) Finish(ctx context.Context) error {
	tick := time.NewTicker(activePollInterval)
	defer tick.Stop()
	for m.Active() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	m.Close()
	return nil
}
