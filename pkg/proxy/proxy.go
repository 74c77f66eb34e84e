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
	config  Config
	options Options
	log     *log.Logger
	metrics *metrics
	router  *routing.Router
	budget  *retry.Budget
	targets *targets
	engines *upstream.Pool
	peers   *upstream.Pool
	started time.Time
	prefix  string // of request identifiers
	counter atomic.Uint64

	guard   sync.RWMutex // see upstream.Options
	index   atomic.Pointer[index]
	leaving atomic.Bool
	closing atomic.Bool
	active  atomic.Int64

	mu     sync.Mutex
	queues map[string]*queue
}

// New returns a proxy with the current view in force.
func New(c Config) *Proxy {
	if c.Health == nil {
		c.Health = wellAlways{}
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
		config:  c,
		options: o,
		log:     c.Log,
		metrics: newMetrics(c.Metrics),
		router:  routing.NewRouter(),
		budget:  retry.NewBudget(o.RetryRatio, o.MinRetries),
		targets: newTargets(o.MaxPrefixBlocks),
		started: time.Now(),
		prefix:  string(c.Gate.Name) + "-" + strconv.FormatUint(uint64(c.Gate.Incarnation), 36) + "-",
		queues:  make(map[string]*queue),
	}
	p.engines = upstream.NewPool(p.poolOptions(report.Path))
	p.peers = upstream.NewPool(p.poolOptions(PeerPingPath))
	p.ViewChanged()
	return p
}

func (p *Proxy) poolOptions(probe string) upstream.Options {
	o := upstream.Options{
		Dial:             p.config.Dial,
		SendLock:         &p.guard,
		ProbePath:        probe,
		FirstByteTimeout: p.options.FirstByteTimeout,
		StallTimeout:     p.options.StallTimeout,
	}
	if p.options.Unsafe.NoStallTimeouts {
		o.FirstByteTimeout, o.StallTimeout, o.ProbeAfter = forever, forever, forever
	}
	return o
}

// forever is longer than any request.
const forever = 24 * time.Hour

// Register serves callers on their port.
func (p *Proxy) Register(e *echo.Echo) {
	e.POST(infer.Path, func(c echo.Context) error { return p.handle(c, false) })
}

// RegisterPeer serves other gates on the peer port.
func (p *Proxy) RegisterPeer(e *echo.Echo) {
	e.POST(PeerPath, func(c echo.Context) error { return p.handle(c, true) })
	e.GET(PeerPingPath, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
}

// ViewChanged brings the current view into force. When it has returned,
// nothing starts any more that the view forbids.
func (p *Proxy) ViewChanged() {
	v := p.config.View()
	x := newIndex(v, p.config.Gate.Name)
	p.guard.Lock()
	if old := p.index.Load(); old == nil || old.view.Revision <= v.Revision {
		p.index.Store(x)
		p.config.Permits.Install(v)
	}
	p.guard.Unlock()
	p.targets.keep(x)
	p.pumpAll()
}

// Run does what is due now and then until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.pumpAll()
			p.noteDemand()
			p.engines.CloseExpired()
			p.peers.CloseExpired()
		}
	}
}

// tick bounds how late a lapsed lease ends what waits.
const tick = 100 * time.Millisecond

// Drain makes the proxy ask its callers for new connections elsewhere. It
// still takes requests, for as long as the balancer may send some.
func (p *Proxy) Drain() { p.leaving.Store(true) }

// RefuseNew makes the proxy refuse whatever comes from now on, as not run. What
// is in it goes on.
func (p *Proxy) RefuseNew() { p.closing.Store(true) }

// Active returns the requests that are in the proxy, waiting ones included,
// and permits that are held for attempts which may still run.
func (p *Proxy) Active() int { return int(p.active.Load()) }

// Close closes idle connections.
func (p *Proxy) Close() {
	p.engines.Close()
	p.peers.Close()
}

func (p *Proxy) now() time.Duration { return time.Since(p.started) }

func (p *Proxy) newID() string {
	return p.prefix + strconv.FormatUint(p.counter.Add(1), 36)
}
