package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

// Pool sends requests and keeps idle connections to upstreams for reuse.
type Pool struct {
	options Options

	mu     sync.Mutex
	idle   map[poolKey][]*conn // most recently used last
	closed bool
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	return &Pool{options: o.withDefaults(), idle: make(map[poolKey][]*conn)}
}

// Close closes idle connections. Connections in use are closed on their return.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// CloseIdleTo closes the idle connections to an address, of all incarnations.
func (p *Pool) CloseIdleTo(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, list := range p.idle {
		if k.address != address {
			continue
		}
		for _, c := range list {
			c.close()
		}
		delete(p.idle, k)
	}
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes all idle connections. The caller holds the lock.
func (p *Pool) closeIdle() {
	for k, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, k)
	}
}

// get returns a live connection to the requested incarnation.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	k := poolKey{address: r.Address, incarnation: r.Incarnation}
	for !r.NewConnection {
		c := p.popIdle(k)
		if c == nil {
			break
		}
		if p.reusable(c) {
			return c, nil
		}
		c.close()
	}
	return p.connect(ctx, k)
}

// reusable reports whether an idle connection may be used again, probing it if needed.
func (p *Pool) reusable(c *conn) bool {
	idle := time.Since(c.idleSince)
	if p.options.ProbePath != "" {
		return idle < p.options.ProbeAfter || p.probe(c) == nil
	}
	return idle < p.options.ProbeAfter && (c.announcedIdle == 0 || idle < c.announcedIdle/2) && c.openAndEmpty()
}

func (p *Pool) popIdle(k poolKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[k] = list[:len(list)-1]
	return c
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.key]
	if p.closed || len(list) >= p.options.MaxIdlePerUpstream {
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.idle[c.key] = append(list, c)
}

// connect opens a connection and checks the incarnation that answers.
func (p *Pool) connect(ctx context.Context, k poolKey) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ProbeTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, k.address)
	if err != nil {
		return nil, &UnreachableError{Address: k.address, Cause: err}
	}
	c := newConn(raw, k)
	if k.incarnation == 0 {
		return c, nil
	}
	if err := p.probe(c); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// getAnswering returns a live connection on which the upstream has answered the request's question, if there
// is one.
func (p *Pool) getAnswering(ctx context.Context, r *Request) (*conn, error) {
	c, err := p.get(ctx, r)
	if err != nil || r.Question == nil {
		return c, err
	}
	stop := context.AfterFunc(ctx, c.close)
	_, err = p.ask(c, r.Question)
	if !stop() {
		err = ctx.Err()
	}
	if err == nil {
		return c, nil
	}
	c.close()
	if errors.Is(err, errUnusableAfterProbe) { // but it was answered
		return p.connect(ctx, c.key)
	}
	return nil, &UnreachableError{Address: r.Address, Cause: err}
}

// probe checks that the connection is live and leads to the expected incarnation.
func (p *Pool) probe(c *conn) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+c.key.address+p.options.ProbePath, nil)
	if err != nil {
		return &UnreachableError{Address: c.key.address, Cause: err}
	}
	body, err := p.ask(c, r)
	if err != nil {
		return &UnreachableError{Address: c.key.address, Cause: err}
	}
	if c.key.incarnation == 0 {
		return nil
	}
	return c.checkIncarnation(body)
}

// ask sends a request without a body and returns the body of the answer. errUnusableAfterProbe means that
// the connection can't be used any more though the request was answered.
func (p *Pool) ask(c *conn, r *http.Request) ([]byte, error) {
	c.readTimeout = p.options.ProbeTimeout
	_ = c.raw.SetWriteDeadline(time.Now().Add(p.options.ProbeTimeout))
	if err := r.Write(c.raw); err != nil {
		return nil, err
	}
	res, err := c.readHead(r.Method)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxProbeBytes))
	if err != nil {
		return nil, err
	}
	if res.Close || c.reader.Buffered() > 0 {
		return nil, errUnusableAfterProbe
	}
	return body, nil
}

// maxProbeBytes limits the response body of a probe.
const maxProbeBytes = 1 << 20

func (c *conn) checkIncarnation(body []byte) error {
	var r report.Report
	if err := json.Unmarshal(body, &r); err != nil {
		return &UnreachableError{Address: c.key.address, Cause: err}
	}
	if r.Status.Incarnation != c.key.incarnation {
		return &IncarnationMismatchError{Address: c.key.address, Want: c.key.incarnation, Got: r.Status.Incarnation}
	}
	return nil
}

// CloseExpired closes connections that have been idle for longer than IdleTimeout. It
// must be called periodically.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].idleSince) > p.options.IdleTimeout {
			list[n].close()
			n++
		}
		if n == len(list) {
			delete(p.idle, k)
			continue
		}
		p.idle[k] = list[n:]
	}
}
