package gate

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/leader"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Handlers serves requests. Each proxy package has an implementation. Its methods must be
// safe for concurrent use.
type Handlers interface {
	// RegisterCallers adds routes to the callers' port.
	RegisterCallers(e *echo.Echo)
	// RegisterPeers adds routes to the port for peer gates.
	RegisterPeers(e *echo.Echo)
	// ViewChanged brings the gate's current view into force. Once it has returned, no
	// request that the view forbids is started.
	ViewChanged()
	// Drain makes callers connect to another gate. Requests are still accepted.
	Drain()
	// Finish waits for work that continues after the callers' connections have ended.
	Finish(ctx context.Context) error
}

// Config configures a gate.
type Config struct {
	Self      view.Gate
	Caller    *leader.Caller
	Clock     clock.Clock
	Events    Events
	Timeline  *timeline.Recorder // orders events across processes by clock stamps; nil: none
	Logger    *log.Logger
	Source    WorkSource
	Limits    Limits
	Listeners Listeners
	Dial      rpc.DialFunc // to upstreams; nil: TCP
	// Authorizer authorises each call on the RPC port; nil: all calls are allowed.
	Authorizer rpc.Authorizer
}

// Limits limits the size and duration of requests and of the shutdown.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration // to receive a request's body; 0: no limit
	MaxRequestTime time.Duration // longest time of one request including its answer
	ShutdownNotice time.Duration // from the first failing health check until new connections are refused
}

// Health reports whether group members run what the view assigns to them.
type Health interface {
	MemberOK(m view.Member, g view.Group) bool
}
