package serviceproxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
)

// Proxy is an http.Handler for calls below PathPrefix. It is safe for concurrent use.
type Proxy struct {
	config       Config
	log          *log.Logger
	timeline     Timeline
	transport    *plaincall.Transport
	keys         access.ViewKeyCache
	metrics      *metrics
	counter      atomic.Uint64 // for request IDs and the rotation of hosts
	inFlight     *inFlightCounts
	pendingSlots chan struct{} // one slot for each conclusion recorded in the background

	mu         sync.Mutex
	closed     bool
	background sync.WaitGroup // running once-only calls and conclusions
	stop       context.CancelFunc
	stopCtx    context.Context
}

// New returns a proxy.
func New(c Config) *Proxy {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.MaxPending == 0 {
		c.MaxPending = DefaultMaxPending
	}
	p := &Proxy{
		config:       c,
		log:          c.Logger,
		timeline:     c.Timeline,
		transport:    c.Transport,
		metrics:      newMetrics(c.Registerer),
		inFlight:     newInFlightCounts(),
		pendingSlots: make(chan struct{}, c.MaxPending),
	}
	if p.log == nil {
		p.log = log.New(io.Discard)
	}
	if p.timeline == nil {
		p.timeline = noTimeline{}
	}
	if p.transport == nil {
		p.transport = plaincall.New(nil)
	}
	p.stopCtx, p.stop = context.WithCancel(context.Background())
	return p
}

// beginOnceOnly registers a once-only call, so that Close waits for it. It returns false
// after Close.
func (p *Proxy) beginOnceOnly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.background.Add(1)
	return true
}

// Close refuses new once-only calls. It waits until the context ends for running ones, even
// if their callers have disconnected, and for conclusions recorded in the background.
func (p *Proxy) Close(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		p.background.Wait()
		close(done)
	}()
	defer p.transport.Close()
	defer p.stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requestID returns a call ID that is unique across all gates.
func (p *Proxy) requestID() string {
	return fmt.Sprintf("%s.%x.%x", p.config.Gate, uint64(p.config.Incarnation), p.counter.Add(1))
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refused := p.admit(w, r)
	if refused != nil {
		p.refuse(w, c, refused)
		return
	}
	if c.isOnceOnly() {
		p.serveOnce(w, r, c)
		return
	}
	p.serveOrdinary(w, r, c)
}
