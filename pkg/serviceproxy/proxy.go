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

// Proxy is an http.Handler for Prefix. It is safe for concurrent use.
type Proxy struct {
	config    Config
	log       *log.Logger
	timeline  Timeline
	transport *plaincall.Transport
	keys      access.ViewKeyCache
	metrics   *metrics
	next      atomic.Uint64 // request IDs
	load      *load
	pending   chan struct{} // a slot for each conclusion in the background

	mu      sync.Mutex
	closed  bool
	work    sync.WaitGroup // once-only calls and conclusions in the background
	stop    context.CancelFunc
	stopped context.Context
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
		config:    c,
		log:       c.Logger,
		timeline:  c.Timeline,
		transport: c.Transport,
		metrics:   newMetrics(c.Registerer),
		load:      newLoad(),
		pending:   make(chan struct{}, c.MaxPending),
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
	p.stopped, p.stop = context.WithCancel(context.Background())
	return p
}

// begin counts a once-only call in, so that Close waits for it.
func (p *Proxy) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.work.Add(1)
	return true
}

// Close refuses new calls and waits for once-only calls, also of callers that
// are gone, and for conclusions in the background, until the context ends.
func (p *Proxy) Close(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		p.work.Wait()
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

// requestID names a call, unlike any other of all gates.
func (p *Proxy) requestID() string {
	return fmt.Sprintf("%s.%x.%x", p.config.Gate, uint64(p.config.Incarnation), p.next.Add(1))
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refused := p.admit(w, r)
	if refused != nil {
		p.refuse(w, c, refused)
		return
	}
	if c.once() {
		p.serveOnce(w, r, c)
		return
	}
	p.serveOrdinary(w, r, c)
}
