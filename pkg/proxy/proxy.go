package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/retry"
	"github.com/sesamemux/sesamemux/pkg/routing"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// Proxy serves model requests on one gate.
type Proxy struct {
	config   Config
	options  Options
	log      *log.Logger
	metrics  *metrics
	router   *routing.Router
	budget   *retry.Budget
	targets  *targets
	engines  *upstream.Pool
	peers    *upstream.Pool
	started  time.Time
	idPrefix string // prefix of request IDs, unique for this incarnation of the gate
	counter  atomic.Uint64

	sendLock sync.RWMutex // see upstream.Options.SendLock
	index    atomic.Pointer[index]
	draining atomic.Bool
	closing  atomic.Bool
	active   atomic.Int64

	mu     sync.Mutex
	queues map[string]*queue
}

// New returns a proxy and brings the current view into force.
func New(c Config) *Proxy {
	if c.Health == nil {
		c.Health = alwaysHealthy{}
	}
	if c.Recorder == nil {
		c.Recorder = noRecorder{}
	}
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.OnCrash == nil {
		c.OnCrash = func(CrashReport) {}
	}
	o := c.Options.withDefaults()
	p := &Proxy{
		config:   c,
		options:  o,
		log:      c.Log,
		metrics:  newMetrics(c.Metrics),
		router:   routing.NewRouter(),
		budget:   retry.NewBudget(o.RetryRatio, o.MinRetries),
		targets:  newTargets(o.MaxPrefixBlocks),
		started:  time.Now(),
		idPrefix: string(c.Gate.Name) + "-" + strconv.FormatUint(uint64(c.Gate.Incarnation), 36) + "-",
		queues:   make(map[string]*queue),
	}
	p.engines = upstream.NewPool(p.poolOptions(report.Path))
	p.peers = upstream.NewPool(p.poolOptions(PeerPingPath))
	p.ViewChanged()
	return p
}

func (p *Proxy) poolOptions(probe string) upstream.Options {
	o := upstream.Options{
		Dial:             p.config.Dial,
		SendLock:         &p.sendLock,
		ProbePath:        probe,
		FirstByteTimeout: p.options.FirstByteTimeout,
		StallTimeout:     p.options.StallTimeout,
	}
	if p.options.Unsafe.NoStallTimeouts {
		o.FirstByteTimeout, o.StallTimeout, o.ProbeAfter = noTimeout, noTimeout, noTimeout
	}
	return o
}

// noTimeout disables a timeout: it is longer than any request.
const noTimeout = 24 * time.Hour

// Register adds the routes for callers.
func (p *Proxy) Register(e *echo.Echo) {
	e.POST(infer.Path, func(c echo.Context) error { return p.handle(c, false) })
}

// RegisterPeer adds the routes for peer gates.
func (p *Proxy) RegisterPeer(e *echo.Echo) {
	e.POST(PeerPath, func(c echo.Context) error { return p.handle(c, true) })
	e.GET(PeerPingPath, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
}

// ViewChanged brings the current view into force. Once it has returned, no request that
// the view forbids is started.
func (p *Proxy) ViewChanged() {
	v := p.config.View()
	x := newIndex(v, p.config.Gate.Name)
	p.sendLock.Lock()
	if old := p.index.Load(); old == nil || old.view.Revision <= v.Revision {
		p.index.Store(x)
		p.config.Permits.Install(v)
	}
	p.sendLock.Unlock()
	p.targets.prune(x)
	p.dispatchAll()
}

// Run performs periodic work until ctx ends: it dispatches queued calls, updates the
// demand, and closes expired connections.
func (p *Proxy) Run(ctx context.Context) {
	t := time.NewTicker(dispatchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.dispatchAll()
			p.updateDemand()
			p.engines.CloseExpired()
			p.peers.CloseExpired()
		}
	}
}

// dispatchInterval is the period of Run, and so the longest delay until queued calls are
// refused after the lease has lapsed.
const dispatchInterval = 100 * time.Millisecond

// Drain makes the proxy close callers' connections after each response, so that they
// connect to another gate. It still accepts requests, as the load balancer may send some
// for a while.
func (p *Proxy) Drain() { p.draining.Store(true) }

// RefuseNew makes the proxy refuse all further requests with the outcome not-run. Requests
// already in the proxy continue.
func (p *Proxy) RefuseNew() { p.closing.Store(true) }

// Active returns the number of requests in the proxy, queued ones included, plus the
// permits held for attempts that may still be running.
func (p *Proxy) Active() int { return int(p.active.Load()) }

// Close closes idle connections.
func (p *Proxy) Close() {
	p.engines.Close()
	p.peers.Close()
}

func (p *Proxy) now() time.Duration { return time.Since(p.started) }

func (p *Proxy) newID() string {
	return p.idPrefix + strconv.FormatUint(p.counter.Add(1), 36)
}
