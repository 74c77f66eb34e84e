package gatedaemon

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// activePoll is the time between two looks for work that goes on.
const activePoll = 50 * time.Millisecond

// modelHandlers serves model requests as gate.Handlers.
type modelHandlers struct {
	*proxy.Proxy
	targets *targetDialer
}

// ViewChanged implements gate.Handlers.
func (m modelHandlers) ViewChanged() {
	m.targets.learn()
	m.Proxy.ViewChanged()
}

// RegisterCallers implements gate.Handlers.
func (m modelHandlers) RegisterCallers(e *echo.Echo) { m.Register(e) }

// RegisterPeers implements gate.Handlers.
func (m modelHandlers) RegisterPeers(e *echo.Echo) { m.RegisterPeer(e) }

// Finish implements gate.Handlers.
func (m modelHandlers) Finish(ctx context.Context) error {
	tick := time.NewTicker(activePoll)
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
