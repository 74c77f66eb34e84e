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

// Handlers serves requests; each proxy package brings one. Its methods are
// safe for concurrent use.
type Handlers interface {
	// RegisterCallers puts routes on the callers' port.
	RegisterCallers(e *echo.Echo)
	// RegisterPeers puts routes on the port for other gates.
	RegisterPeers(e *echo.Echo)
	// ViewChanged brings the gate's current view into force. When it has
	// returned, nothing starts any more that the view forbids.
	ViewChanged()
	// Drain makes callers look for another gate, while requests are still
	// taken.
	Drain()
	// Finish waits for what goes on after the callers' connections ended.
	Finish(ctx context.Context) error
}

// Config holds what a gate is built from.
type Config struct {
	Self      view.Gate
	Caller    *leader.Caller
	Clock     clock.Clock
	Events    Events
	Timeline  *timeline.Recorder // joins the time lines of processes; nil: not joined
	Logger    *log.Logger
	Source    WorkSource
	Limits    Limits
	Listeners Listeners
	Dial      rpc.DialFunc // to upstreams; nil: TCP
	// Authorizer is asked before each call at the RPC port; nil: all may call.
	Authorizer rpc.Authorizer
}

// Limits bounds what callers may send and how long a shutdown takes.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration // until a request's body is whole; 0: no bound
	MaxRequestTime time.Duration // one request with its answer, at most
	ShutdownNotice time.Duration // from health off to the last accepted request
}

// Health tells what the members of groups say of themselves.
type Health interface {
	MemberOK(m view.Member, g view.Group) bool
}
