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
	// idlePerUpstream bounds the idle connections kept to one upstream.
	idlePerUpstream = 2
	// idleTime is how long they are kept.
	idleTime = 30 * time.Second
)

// Phases of a gate's life.
const (
	phaseServing int32 = iota
	phaseNotice        // health is off, requests are still taken
	phaseClosing       // no new connections; running requests finish
)

// Gate is one gate daemon.
type Gate struct {
	config   Config
	logger   *log.Logger
	registry *registry
	syncer   *syncer
	courier  *courier
	watcher  *watcher
	callers  *http.Server
	peers    *http.Server
	upstream *http.Server
	rpc      *rpc.Server
	client   *http.Client // to upstreams
	handlers []Handlers
	phase    atomic.Int32
}

// New returns a gate without request handlers.
func New(c Config) *Gate {
	client := upstreamClient(c.Dial)
	g := &Gate{config: c, logger: c.Logger, registry: newRegistry(c.Clock), client: client, rpc: newRPC(c)}
	g.courier = newCourier(c.Clock, client, c.Events, c.Logger)
	g.syncer = &syncer{
		self:     c.Self,
		caller:   c.Caller,
		clock:    c.Clock,
		lease:    membership.NewLease(c.Clock),
		registry: g.registry,
		source:   c.Source,
		courier:  g.courier,
		events:   c.Events,
		stamps:   c.Timeline,
		logger:   c.Logger,
	}
	refuseOperators(g.rpc, c.Caller.Address)
	g.syncer.changed = g.viewChanged
	g.syncer.view.Store(view.New())
	g.watcher = newWatcher(c.Clock, client, g.View, g.registry)
	g.syncer.counter = g.watcher
	return g
}

func newRPC(c Config) *rpc.Server {
	if c.Authorizer == nil {
		return rpc.NewServer(rpc.WithLogger(c.Logger))
	}
	return rpc.NewServer(rpc.WithLogger(c.Logger), rpc.WithAuthorizer(c.Authorizer))
}

// upstreamClient returns a client for upstreams, which are named by IP address
// and never asked by way of a proxy.
func upstreamClient(dial rpc.DialFunc) *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: idlePerUpstream, IdleConnTimeout: idleTime}
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

// Health returns what the members of groups say of themselves.
func (g *Gate) Health() Health { return g.watcher }

// RPC returns the server for operators and other processes.
func (g *Gate) RPC() *rpc.Server { return g.rpc }

// SetReportListener makes a listener get the reports of groups' heads. It is
// called before Serve.
func (g *Gate) SetReportListener(l ReportListener) { g.watcher.listener = l }

// Ready tells whether the balancer should send callers here, and if not, why.
func (g *Gate) Ready() (bool, string) {
	switch {
	case g.phase.Load() != phaseServing:
		return false, "shutting down"
	case !g.Lease().Valid():
		return false, "no lease"
	}
	return true, ""
}

// Serve runs all duties with the given handlers until ctx ends, then shuts
// down: it tells the balancer, goes on taking requests for the notice time,
// finishes all that runs, and gives its lease up.
func (g *Gate) Serve(ctx context.Context, handlers ...Handlers) error {
	g.handlers = handlers
	g.build()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	work, running := errgroup.WithContext(running)
	g.goServe(work, g.callers, g.config.Listeners.Callers)
	g.goServe(work, g.peers, g.config.Listeners.Peers)
	g.goServe(work, g.upstream, g.config.Listeners.Upstreams)
	work.Go(func() error {
		if err := g.rpc.Serve(g.config.Listeners.RPC); !eris.Is(err, rpc.ErrClosed) {
			return err
		}
		return nil
	})
	for _, duty := range []func(context.Context){g.syncer.run, g.courier.run, g.watcher.run} {
		work.Go(func() error {
			duty(running)
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

// build makes the servers of the HTTP ports.
func (g *Gate) build() {
	callers, peers, upstreams := newEcho(), newEcho(), newEcho()
	health.Register(callers, func() health.Status {
		ready, reason := g.Ready()
		return health.Status{Ready: ready, Reason: reason}
	})
	for _, h := range g.handlers {
		h.RegisterCallers(callers)
		h.RegisterPeers(peers)
	}
	peers.Use(observeStamps(g.config.Timeline))
	a := &announcements{self: g.config.Self.Name, registry: g.registry, events: g.config.Events, logger: g.logger}
	a.register(upstreams)
	g.callers = g.server(http.MaxBytesHandler(callers, g.config.Limits.MaxBodyBytes))
	g.peers = g.server(peers)
	g.upstream = g.server(http.MaxBytesHandler(upstreams, g.config.Limits.MaxBodyBytes))
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Logger.SetOutput(io.Discard) // the servers tell by ErrorLog
	return e
}

func (g *Gate) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           limitBodyTime(h, g.config.Limits.BodyTimeout),
		ReadHeaderTimeout: g.config.Limits.HeaderTimeout,
		MaxHeaderBytes:    g.config.Limits.MaxHeaderBytes,
		ErrorLog:          g.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
}

func (g *Gate) goServe(work *errgroup.Group, s *http.Server, l net.Listener) {
	work.Go(func() error {
		if err := s.Serve(l); !eris.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return nil
	})
}

// shutdown takes leave: no request that was accepted is cut off.
func (g *Gate) shutdown(ctx context.Context) {
	g.phase.Store(phaseNotice)
	g.logger.Info("shutdown begins", "notice", g.config.Limits.ShutdownNotice)
	g.callers.SetKeepAlivesEnabled(false)
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
	if err := g.callers.Shutdown(finishing); err != nil {
		g.logger.Error("requests did not finish", "err", err)
	}
	if err := g.peers.Shutdown(finishing); err != nil {
		g.logger.Error("handed-over requests did not finish", "err", err)
	}
	for _, h := range g.handlers {
		if err := h.Finish(finishing); err != nil {
			g.logger.Error("work behind answered requests did not finish", "err", err)
		}
	}
	g.syncer.signOff(finishing)
	g.logger.Info("shutdown done")
}

// close ends what is still open.
func (g *Gate) close() {
	for _, s := range []*http.Server{g.callers, g.peers, g.upstream} {
		_ = s.Close()
	}
	g.rpc.Close()
	g.client.CloseIdleConnections()
	g.config.Listeners.Close()
	g.config.Caller.Close()
}
