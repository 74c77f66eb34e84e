package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamemux/sesamemux/pkg/edge/announce"
	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/edge/order"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Engine is one member.
type Engine struct {
	options Options
	log     *log.Logger
	started time.Time
	client  *http.Client
	faults  *faults
	wake    chan struct{} // work for the batch
	changed chan struct{} // the role changed

	mu        sync.Mutex
	role      role
	loaded    string // version whose weights are in memory
	fence     view.Epoch
	model     *Model
	streams   map[*Sequence]*stream
	attempts  map[infer.Cancel]*stream // nil: cancelled
	leaving   bool
	stalledBy string // peer that does not answer
	peak      int    // most requests at once
}

// New returns a member that holds no role.
func New(o Options) *Engine {
	if o.Incarnation == 0 {
		o.Incarnation = view.Incarnation(time.Now().UnixNano())
	}
	if o.AnnounceInterval == 0 {
		o.AnnounceInterval = announce.Interval
	}
	if o.Log == nil {
		o.Log = log.New(io.Discard)
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: peerTimeout}).Dial
	}
	if o.OnPrompt == nil {
		o.OnPrompt = func(string) {}
	}
	if o.Crash == nil {
		o.Crash = func() {}
	}
	return &Engine{
		options:  o,
		log:      o.Log,
		started:  time.Now(),
		client:   newClient(o),
		faults:   &faults{},
		wake:     make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
		role:     role{phase: report.PhaseIdle},
		model:    NewModel(o.Model, 0),
		streams:  make(map[*Sequence]*stream),
		attempts: make(map[infer.Cancel]*stream),
	}
}

func newClient(o Options) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
			return o.Dial(network, address)
		},
		MaxIdleConnsPerHost: 2,
	}}
}

// Incarnation returns the member's own.
func (e *Engine) Incarnation() view.Incarnation { return e.options.Incarnation }

// Handler serves the member's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := echo.New()
	r.HideBanner = true
	r.Use(e.pauseWhenOrdered)
	r.GET(report.Path, e.handleReport)
	r.POST(order.Path, e.handleOrder)
	r.POST(infer.Path, e.handleChat)
	r.POST(infer.CancelPath, e.handleCancel)
	r.POST(FaultPath, e.handleFault)
	return r
}

// Run announces, loads, generates and watches peers until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	defer e.client.CloseIdleConnections()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.announceLoop(ctx) })
	g.Go(func() error { return e.loadLoop(ctx) })
	g.Go(func() error { return e.batchLoop(ctx) })
	g.Go(func() error { return e.peerLoop(ctx) })
	return g.Wait()
}

// SetLeaving announces that the member is about to stop.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Running returns the number of requests in the member.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams)
}

// ResetToCold makes the member cold again without a word: its cache, its counters
// and its warmth are gone, its incarnation stays.
func (e *Engine) ResetToCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Restart(e.now())
}

// PeakRunning returns the most requests that were in the member at once.
func (e *Engine) PeakRunning() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peak
}

func (e *Engine) now() time.Duration { return time.Since(e.started) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits and tells whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
