package entry

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

// call is one client's request on its way.
type call struct {
	gate  *Gateway
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	began time.Duration

	index        *catalog.Index
	route        *catalog.Route
	organisation string
	service      *catalog.Service
	model        string
	promptTokens int
	answerTokens int
	body         []byte
	until        time.Duration // the client's time and the route's, whichever ends first

	tried    map[string]bool
	sent     int  // upstreams it was written to
	ranOn    int  // upstreams that may have run it
	headSent bool // the answer's head is on its way to the client

	outcome  outcome
	reason   reason
	placer   string // address of the entry host that chose the upstream; empty: this one
	inputs   string // of a choice that found no upstream
	status   int
	upstream string
	cause    error
	firstAt  time.Duration // first event
	pause    time.Duration // longest between events
	resumed  int
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// left returns the time that the request still has.
func (c *call) left() time.Duration { return c.until - c.gate.now() }

// ServeHTTP takes a client's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gate: g, w: w, r: r, ctx: r.Context(), began: g.now(), tried: map[string]bool{}}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if c.admit() {
		c.serve()
	}
	c.end()
}

// admit finds what the request is and whether it is allowed; it answers the
// client if not.
func (c *call) admit() bool {
	g := c.gate
	c.index = g.document(c.ctx)
	if c.index == nil {
		c.refuse(noDocument, time.Second)
		return false
	}
	path := c.r.RequestURI
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	c.route = c.index.Route(c.r.Host, path)
	if c.route == nil {
		c.reject(http.StatusNotFound, unknownRoute)
		return false
	}
	if c.index.RequiresAPIKey() && !c.route.Public {
		key, bearer := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
		o := c.index.Organisation(key)
		if !bearer || o == nil {
			c.reject(http.StatusUnauthorized, unknownKey)
			return false
		}
		c.organisation = o.Name
	}
	c.until = c.began + c.route.Timeout
	if ms, err := strconv.ParseFloat(c.r.Header.Get(g.cfg.Headers.Deadline), 64); err == nil && ms >= 0 {
		c.until = min(c.until, c.began+time.Duration(ms*float64(time.Millisecond)))
	}
	if !c.readBody() {
		return false
	}
	c.service = c.index.Service(pickBackend(c.route))
	c.readModel()
	return true
}

// document returns what is in force. A host that has just started waits a
// moment for it: after a restart of all hosts clients have nowhere else to go.
func (g *Gateway) document(ctx context.Context) *catalog.Index {
	if x := g.index.Load(); x != nil {
		return x
	}
	wait := firstDocument - (g.now() - g.started)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.first:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.index.Load()
}

// firstDocument is how long after its start a host holds requests for the first
// document: an election and the way to the leader. Later it refuses at once.
const firstDocument = 1500 * time.Millisecond

// pickBackend chooses a service by weight.
func pickBackend(r *catalog.Route) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	n := rand.IntN(total)
	for _, b := range r.Backends {
		if n < b.Weight {
			return b.Service
		}
		n -= b.Weight
	}
	return r.Backends[0].Service
}

func (c *call) readBody() bool {
	limit := c.index.Set.Limits.BodyBytes
	body := io.Reader(c.r.Body)
	if limit > 0 {
		if c.r.ContentLength > limit {
			c.reject(http.StatusRequestEntityTooLarge, "body is too large")
			return false
		}
		body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	raw, err := io.ReadAll(body)
	if err != nil {
		c.cause = err
		if c.ctx.Err() != nil {
			c.outcome = clientLeft
			return false
		}
		c.reject(http.StatusBadRequest, "body could not be read")
		return false
	}
	c.body = raw
	return true
}

// readModel takes the model and token counts of a request for an engine.
func (c *call) readModel() {
	e := c.service.Engine
	if e == nil {
		return
	}
	h := c.gate.cfg.Headers
	c.model = c.r.Header.Get(h.Model)
	if c.model == "" && len(e.Models) > 0 {
		c.model = e.Models[0].Name
	}
	c.promptTokens, c.answerTokens = e.MeanPromptTokens, e.MeanAnswerTokens
	prompt, most, found := strings.Cut(c.r.Header.Get(h.TokenCounts), ",")
	if n, err := strconv.Atoi(strings.TrimSpace(prompt)); err == nil && found {
		c.promptTokens = n
	}
	if n, err := strconv.Atoi(strings.TrimSpace(most)); err == nil && found {
		c.answerTokens = min(n, c.answerTokens)
	}
}

// serve sends the request and answers the client.
func (c *call) serve() {
	g := c.gate
	g.budget.arrived(c.service.Name, g.balancer.entryCount())
	if e := c.service.Engine; e != nil {
		if m, ok := e.Model(c.model); ok {
			g.demand.arrived(c.began, c.model, cost(e, m, c.promptTokens, c.answerTokens))
		}
	}
	if c.route.Kind == catalog.Stream {
		c.serveStream()
		return
	}
	c.serveWhole()
}

// refuse answers that the request has not run and will not, and when to come
// back.
func (c *call) refuse(why reason, again time.Duration) {
	c.reason = why
	if c.ranOn > 0 && !c.route.Retryable() {
		c.giveUp(http.StatusBadGateway, why)
		return
	}
	c.outcome = refused
	c.w.Header().Set("Retry-After", strconv.FormatFloat(again.Seconds(), 'f', 2, 64))
	c.answer(http.StatusServiceUnavailable, string(why))
}

// giveUp answers that the request may have run.
func (c *call) giveUp(status int, why reason) {
	c.reason = why
	c.outcome = unknown
	c.answer(status, string(why))
}

// reject answers that the request is not allowed as it is.
func (c *call) reject(status int, why reason) {
	c.reason = why
	c.outcome = rejected
	c.answer(status, string(why))
}

// answer writes an answer of this entry host's own.
func (c *call) answer(status int, text string) {
	c.status = status
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if id := c.r.Header.Get(c.gate.cfg.Headers.Attempt); id != "" {
		h.Set(c.gate.cfg.Headers.Attempt, id)
	}
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, text+"\n") // the client sees what is missing
}

// end counts the request and writes its line. An answer that began and is not
// whole is broken off: there is no other way to tell the client.
func (c *call) end() {
	c.account()
	if c.headSent && (c.outcome == cutShort || c.outcome == clientLeft) {
		panic(http.ErrAbortHandler)
	}
}

func (c *call) account() {
	now := c.gate.now()
	c.gate.metrics.ended(c, now-c.began)
	if c.firstAt != 0 {
		c.gate.metrics.FirstEvent.WithLabelValues(c.model).Observe((c.firstAt - c.began).Seconds())
		c.gate.metrics.StreamPause.Observe(c.pause.Seconds())
	}
	if !c.gate.lines.allow(now, c.outcome == served) {
		return
	}
	version := int64(-1)
	if c.index != nil {
		version = c.index.Set.Version
	}
	c.gate.cfg.Logger.Info("request ended",
		"request", c.r.Header.Get(c.gate.cfg.Headers.Attempt), "route", c.routeName(), "outcome", c.outcome, "status", c.status,
		"reason", c.reason, "upstream", c.upstream, "placer", c.placer, "sent", c.sent, "resumed", c.resumed, "model", c.model,
		"ms", (now - c.began).Milliseconds(), "first_ms", max((c.firstAt-c.began).Milliseconds(), 0), "pause_ms", c.pause.Milliseconds(),
		"left_ms", max(c.until-now, 0).Milliseconds(), "document", version,
		"view_age_ms", (now - time.Duration(c.gate.synced.Load())).Milliseconds(), "inputs", c.inputs, "cause", c.cause)
}
