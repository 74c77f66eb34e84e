package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/report"
)

// Pool holds idle connections to upstreams.
type Pool struct {
	options Options

	mu     sync.Mutex
	idle   map[key][]*conn // most recently used last
	closed bool
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	return &Pool{options: o.withDefaults(), idle: make(map[key][]*conn)}
}

// Close closes idle connections; those in use close when they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for k, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, k)
	}
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

// get returns a live connection to the right incarnation.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	k := key{address: r.Address, incarnation: r.Incarnation}
	for !r.NewConnection {
		c := p.take(k)
		if c == nil {
			break
		}
		if p.alive(c) {
			return c, nil
		}
		c.close()
	}
	return p.open(ctx, k)
}

// alive tells whether an idle connection may be used again.
func (p *Pool) alive(c *conn) bool {
	idle := time.Since(c.since)
	if p.options.ProbePath != "" {
		return idle < p.options.ProbeAfter || p.probe(c) == nil
	}
	return idle < p.options.ProbeAfter && (c.keeps == 0 || idle < c.keeps/2) && c.quiet()
}

func (p *Pool) take(k key) *conn {
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

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.key]
	if p.closed || len(list) >= p.options.MaxIdlePerUpstream {
		c.close()
		return
	}
	c.since = time.Now()
	p.idle[c.key] = append(list, c)
}

// open dials and confirms who answers.
func (p *Pool) open(ctx context.Context, k key) (*conn, error) {
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

// probe asks the other end who it is.
func (p *Pool) probe(c *conn) error {
	c.limit = p.options.ProbeTimeout
	_ = c.raw.SetWriteDeadline(time.Now().Add(p.options.ProbeTimeout))
	ask := "GET " + p.options.ProbePath + " HTTP/1.1\r\nHost: " + c.key.address + "\r\n\r\n"
	if _, err := io.WriteString(c.raw, ask); err != nil {
		return &UnreachableError{Address: c.key.address, Cause: err}
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return &UnreachableError{Address: c.key.address, Cause: err}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxProbe))
	if err != nil {
		return &UnreachableError{Address: c.key.address, Cause: err}
	}
	if res.Close || c.reader.Buffered() > 0 {
		return &UnreachableError{Address: c.key.address, Cause: errProbe}
	}
	if c.key.incarnation == 0 {
		return nil
	}
	return c.confirm(body)
}

// maxProbe bounds the answer of a probe.
const maxProbe = 1 << 20

func (c *conn) confirm(body []byte) error {
	var r report.Report
	if err := json.Unmarshal(body, &r); err != nil {
		return &UnreachableError{Address: c.key.address, Cause: err}
	}
	if r.Status.Incarnation != c.key.incarnation {
		return &IncarnationMismatchError{Address: c.key.address, Want: c.key.incarnation, Got: r.Status.Incarnation}
	}
	return nil
}

// CloseExpired closes connections that were idle for too long. Call it now and then.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].since) > p.options.IdleTimeout {
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
