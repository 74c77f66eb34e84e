package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/sesamemux/sesamemux/pkg/edge/health"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// maxIdlePerUpstream limits the idle connections to one upstream.
	maxIdlePerUpstream = 2
	// idleTimeout is how long idle connections are kept.
	idleTimeout = 30 * time.Second
)

// Phases of a gate.
const (
	phaseServing  int32 = iota
	phaseDraining       // health check fails, requests are still accepted
	phaseClosing        // no new connections, running requests finish
)

// Gate is one gate daemon.
type Gate struct {
	config         Config
	logger         *log.Logger
	registry       *registry
	syncer         *syncer
	orders         *orderSender
	poller         *reportPoller
	callerServer   *http.Server
	peerServer     *http.Server
	upstreamServer *http.Server
	rpc            *rpc.Server
	client         *http.Client // to upstreams
	handlers       []Handlers
	phase          atomic.Int32
}

// New returns a gate without request handlers.
func New(c Config) *Gate {
	client := upstreamClient(c.Dial)
	g := &Gate{config: c, logger: c.Logger, registry: newRegistry(c.Clock), client: client, rpc: newRPC(c)}
	g.orders = newOrderSender(c.Clock, client, c.Events, c.Logger)
	g.syncer = &syncer{
		self:     c.Self,
		caller:   c.Caller,
		clock:    c.Clock,
		lease:    membership.NewLease(c.Clock),
		registry: g.registry,
		source:   c.Source,
		orders:   g.orders,
		events:   c.Events,
		timeline: c.Timeline,
		logger:   c.Logger,
	}
	refuseOperators(g.rpc, c.Caller.Address)
	g.syncer.onViewChanged = g.viewChanged
	g.syncer.view.Store(view.New())
	g.poller = newReportPoller(c.Clock, client, g.View, g.registry)
	g.syncer.counter = g.poller
	return g
}

func newRPC(c Config) *rpc.Server {
	if c.Authorizer == nil {
		return rpc.NewServer(rpc.WithLogger(c.Logger))
	}
	return rpc.NewServer(rpc.WithLogger(c.Logger), rpc.WithAuthorizer(c.Authorizer))
}

// maxResponseHeadBytes limits the header of an upstream's response.
const maxResponseHeadBytes = 64 << 10

// upstreamClient returns a client for upstreams, which are addressed by IP address. It uses
// no proxy from the environment and follows no redirects.
func upstreamClient(dial rpc.DialFunc) *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdlePerUpstream, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxResponseHeadBytes}
	if dial != nil {
		t.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
	}
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (g *Gate) viewChanged() {
	for _, h := range g.handlers {
		h.ViewChanged()
	}
}

// View returns the view in force.
func (g *Gate) View() *view.View { return g.syncer.current() }

// Lease returns the gate's right to take new work.
func (g *Gate) Lease() *membership.Lease { return g.syncer.lease }

// Health returns the state of group members according to their reports.
func (g *Gate) Health() Health { return g.poller }

// RPC returns the RPC server for operators and other processes.
func (g *Gate) RPC() *rpc.Server { return g.rpc }

// SetReportListener sets the listener for the reports of group heads. It must be called
// before Serve.
func (g *Gate) SetReportListener(l ReportListener) { g.poller.listener = l }

// Ready reports whether the load balancer should send callers to this gate, and if not, the
// reason.
func (g *Gate) Ready() (bool, string) {
	switch {
	case g.phase.Load() != phaseServing:
		return false, "shutting down"
	case !g.Lease().Valid():
		return false, "no lease"
	}
	return true, ""
}

// Serve runs the gate with the given handlers until ctx ends, and then shuts down: it fails
// the health check, accepts requests for the notice time, waits for running requests, and
// releases its lease.
func (g *Gate) Serve(ctx context.Context, handlers ...Handlers) error {
	g.handlers = handlers
	g.buildServers()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	work, running := errgroup.WithContext(running)
	g.serveOn(work, g.callerServer, g.config.Listeners.Callers)
	g.serveOn(work, g.peerServer, g.config.Listeners.Peers)
	g.serveOn(work, g.upstreamServer, g.config.Listeners.Upstreams)
	work.Go(func() error {
		if err := g.rpc.Serve(g.config.Listeners.RPC); !eris.Is(err, rpc.ErrClosed) {
			return err
		}
		return nil
	})
	for _, task := range []func(context.Context){g.syncer.run, g.orders.run, g.poller.run} {
		work.Go(func() error {
			task(running)
			return nil
		})
	}
	work.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			g.shutdown(running)
		case <-running.Done():
		}
		g.close()
		return nil
	})
	return work.Wait()
}

// buildServers creates the servers of the HTTP ports.
func (g *Gate) buildServers() {
	callers, peers, upstreams := newEcho(), newEcho(), newEcho()
	health.Register(callers, func() health.Status {
		ready, reason := g.Ready()
		return health.Status{Ready: ready, Reason: reason}
	})
	for _, h := range g.handlers {
		h.RegisterCallers(callers)
		h.RegisterPeers(peers)
	}
	peers.Use(observeTimeline(g.config.Timeline))
	a := &announcements{self: g.config.Self.Name, registry: g.registry, events: g.config.Events, logger: g.logger}
	a.register(upstreams)
	g.callerServer = g.newServer(http.MaxBytesHandler(callers, g.config.Limits.MaxBodyBytes))
	g.peerServer = g.newServer(peers)
	g.upstreamServer = g.newServer(http.MaxBytesHandler(upstreams, g.config.Limits.MaxBodyBytes))
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Logger.SetOutput(io.Discard) // errors are logged through http.Server.ErrorLog
	return e
}

func (g *Gate) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           limitBodyTime(h, g.config.Limits.BodyTimeout),
		ReadHeaderTimeout: g.config.Limits.HeaderTimeout,
		MaxHeaderBytes:    g.config.Limits.MaxHeaderBytes,
		ErrorLog:          g.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
}

func (g *Gate) serveOn(work *errgroup.Group, s *http.Server, l net.Listener) {
	work.Go(func() error {
		if err := s.Serve(l); !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return nil
	})
}

// shutdown shuts the gate down without interrupting accepted requests.
func (g *Gate) shutdown(ctx context.Context) {
	g.phase.Store(phaseDraining)
	g.logger.Info("shutting down", "notice", g.config.Limits.ShutdownNotice)
	g.callerServer.SetKeepAlivesEnabled(false)
	for _, h := range g.handlers {
		h.Drain()
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(g.config.Limits.ShutdownNotice):
	}
	g.phase.Store(phaseClosing)
	finishing, cancel := context.WithTimeout(ctx, g.config.Limits.MaxRequestTime)
	defer cancel()
	if err := g.callerServer.Shutdown(finishing); err != nil {
		g.logger.Error("callers' requests did not finish in time", "err", err)
	}
	if err := g.peerServer.Shutdown(finishing); err != nil {
		g.logger.Error("requests from peer gates did not finish in time", "err", err)
	}
	for _, h := range g.handlers {
		if err := h.Finish(finishing); err != nil {
			g.logger.Error("background work did not finish in time", "err", err)
		}
	}
	g.syncer.releaseLease(finishing)
	g.logger.Info("shutdown complete")
}

// close closes all servers, connections and listeners.
func (g *Gate) close() {
	for _, s := range []*http.Server{g.callerServer, g.peerServer, g.upstreamServer} {
		_ = s.Close()
	}
	g.rpc.Close()
	g.client.CloseIdleConnections()
	g.config.Listeners.Close()
	g.config.Caller.Close()
}
