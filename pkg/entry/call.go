package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// call is one client request in progress.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context // done when the client has left or the request must end
	began   time.Duration

	index        *catalog.Index
	route        *catalog.Route
	organisation string
	service      *catalog.Service
	model        string
	promptTokens int
	answerTokens int
	body         []byte
	upload       *bodyReader   // of body; nil before it is read
	deadline     time.Duration // the earlier of the client's and the route's

	origin  *control.RelayedRequest // set if another entry host passed the request on
	relay   string                  // address of the entry host that it was passed on to last; empty if none
	asked   map[string]bool         // addresses of the entry hosts that it was passed on to
	counted bool                    // added to the retry budget and the demand, here or at the origin

	fingerprint        view.Fingerprint     // see requestFingerprint
	parts              []view.Fingerprint   // see partFingerprints
	fingerprintOnce    sync.Once            // of both
	trial              string               // granted trial of a suspect that was not used yet or is running; empty if none
	judgement          quarantine.Judgement // the last one
	sentBeforeTrial    int                  // sent when the trial was granted
	refusedUntilMS     int64                // when a refused request may be tried again, Unix milliseconds
	runBegan           time.Duration        // when the upstream of the last answer was chosen
	framed             bool                 // the last answer marked its own end, or its upstream was alive after it
	tried              map[string]bool
	sent               int         // upstreams to which the request was written
	possibleExecutions int         // upstreams that may have run the request
	headerSent         bool        // the answer's header was written to the client
	keepServing        func() bool // exempts the request from Gateway.EndRequests

	outcome       outcome
	reason        reason
	placer        string // address of the entry host that chose the upstream; empty if this one did
	choiceSummary string // inputs of a choice that found no upstream
	status        int
	upstream      string
	upstreamBorn  int64 // when it started, Unix milliseconds
	cause         error
	firstEventAt  time.Duration
	longestPause  time.Duration // between events
	resumed       int
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// originName returns the entry host that passed the request on, empty if it came from a client.
func (c *call) originName() string {
	if c.origin == nil {
		return ""
	}
	return c.origin.Process
}

// remaining returns the time left until the deadline.
func (c *call) remaining() time.Duration { return c.deadline - c.gateway.now() }

// clientGone reports whether the client has closed its connection, or its sending side.
func (c *call) clientGone() bool { return c.r.Context().Err() != nil }

// answerBegins notes that the answer's header is written to the client.
func (c *call) answerBegins(status int) {
	c.keepServing()
	c.status = status
	c.headerSent = true
	c.w.WriteHeader(status)
}

func newCall(g *Gateway, w http.ResponseWriter, r *http.Request) *call {
	return &call{gateway: g, w: w, r: r, began: g.now(), tried: map[string]bool{}, asked: map[string]bool{}}
}

// ServeHTTP handles a client request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { newCall(g, w, r).handle() }

// handle serves the request to its end.
func (c *call) handle() {
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	c.ctx = ctx
	c.keepServing = context.AfterFunc(c.gateway.ending, cancel)
	defer c.keepServing()
	if c.gateway.stopping.Load() {
		c.w.Header().Set("Connection", "close")
	}
	defer c.releaseBody()
	if c.admit() {
		c.serve()
	}
	c.finish()
}

// releaseBody gives back the memory of the request's body.
func (c *call) releaseBody() {
	if c.upload != nil {
		c.upload.release()
	}
}

// admit resolves the route, organisation, deadline, body and model of the request. If the request
// is not admissible it answers the client and returns false.
func (c *call) admit() bool {
	g := c.gateway
	c.index = g.currentIndex(c.ctx)
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
		c.deny(http.StatusNotFound, unknownRoute)
		return false
	}
	if c.index.RequiresAPIKey() && !c.route.Public {
		key, bearer := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
		o := c.index.Organisation(key)
		if !bearer || o == nil {
			c.deny(http.StatusUnauthorized, unknownKey)
			return false
		}
		c.organisation = o.Name
	}
	c.deadline = c.began + c.route.Timeout
	if ms, err := strconv.ParseFloat(c.r.Header.Get(g.cfg.Headers.Deadline), 64); err == nil && ms >= 0 {
		// Compared as numbers, since a long limit exceeds the range of time.Duration.
		c.deadline = c.began + time.Duration(min(ms*float64(time.Millisecond), float64(c.route.Timeout)))
	}
	if !c.readBody() {
		return false
	}
	if c.mayOutlastStop() {
		c.refuse(processStops, otherHostRetryAfter)
		return false
	}
	c.service = c.chooseService()
	c.readModel()
	return true
}

// currentIndex returns the document in force. Shortly after its start an entry host waits for the
// first document: after a restart of all entry hosts clients have no alternative.
func (g *Gateway) currentIndex(ctx context.Context) *catalog.Index {
	if x := g.index.Load(); x != nil {
		return x
	}
	wait := firstDocumentWait - (g.now() - g.started)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.firstDocumentReady:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.index.Load()
}

// firstDocumentWait is how long after its start an entry host holds requests until the first
// document arrives. It covers an election and the request to the leader. Later requests are refused
// at once.
const firstDocumentWait = 1500 * time.Millisecond

// chooseService chooses the service of the route, unless the origin of a relayed request has done so.
func (c *call) chooseService() *catalog.Service {
	if c.origin != nil {
		if s := c.index.Service(c.origin.Service); s != nil {
			return s
		}
	}
	return c.index.Service(pickBackend(c.route))
}

// pickBackend chooses a service at random according to the weights.
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
	c.upload = &bodyReader{body: body, memory: c.gateway.bodies}
	raw, err := io.ReadAll(c.upload)
	if err != nil {
		c.upload.release()
		c.bodyFailed(err)
		return false
	}
	c.body = raw
	return true
}

// bodyFailed answers a request whose body could not be read.
func (c *call) bodyFailed(err error) {
	c.cause = err
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		c.refuse(bodiesTooLarge, time.Second)
	case errors.As(err, &tooLarge):
		c.reject(http.StatusRequestEntityTooLarge, "body is too large")
	case c.clientGone():
		c.outcome = clientLeft
	default:
		c.reject(http.StatusBadRequest, "body could not be read")
	}
}

// readModel reads the model and the token counts of an engine request.
func (c *call) readModel() {
	e := c.service.Engine
	if e == nil {
		return
	}
	h := c.gateway.cfg.Headers
	c.model = c.r.Header.Get(h.Model)
	if c.model == "" && len(e.Models) > 0 {
		c.model = e.Models[0].Name
	}
	c.promptTokens, c.answerTokens = tokenCounts(e, c.r.Header.Get(h.TokenCounts))
}

// serve forwards the request and answers the client.
func (c *call) serve() {
	c.count()
	if c.route.Kind == catalog.Stream {
		c.serveStream()
	} else {
		c.serveBuffered()
	}
	c.settleRequest()
}

// count adds the request to the retry budget and the demand. While this entry host can't reach upstreams
// the one that it passes the request on to does.
func (c *call) count() {
	g := c.gateway
	c.counted = c.origin != nil && c.origin.Counted
	if c.counted || g.links.cutOff() {
		g.budget.open(c.service.Name, g.balancer.entryCount())
		return
	}
	c.counted = true
	g.budget.addRequest(c.service.Name, g.balancer.entryCount())
	if e := c.service.Engine; e != nil {
		if m, ok := e.Model(c.model); ok {
			g.demand.addRequest(c.began, c.model, engineSeconds(e, m, c.promptTokens, c.answerTokens))
		}
	}
}

// refuse answers that the request did not and will not run, with a Retry-After. If it may have run
// it answers that the outcome is unknown instead.
func (c *call) refuse(why reason, delay time.Duration) {
	c.reason = why
	if c.possibleExecutions > 0 && !c.route.Retryable() {
		c.failUnknown(http.StatusBadGateway, why)
		return
	}
	c.outcome = refused
	c.w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 2, 64))
	c.writeLocalAnswer(http.StatusServiceUnavailable, string(why))
}

// failUnknown answers that the request may have run.
func (c *call) failUnknown(status int, why reason) {
	c.reason = why
	c.outcome = outcomeUnknown
	c.writeLocalAnswer(status, string(why))
}

// maxDenialAge is how long ago a coordinator must have confirmed the document that denies a request.
const maxDenialAge = 2 * time.Second

// deny rejects a request that the document does not allow. If coordinators have been silent for
// longer, a newer document may allow it, so that the client is told to come back.
func (c *call) deny(status int, why reason) {
	if g := c.gateway; g.now()-time.Duration(g.lastSync.Load()) > maxDenialAge {
		c.refuse(outdatedDocument, time.Second)
		return
	}
	c.reject(status, why)
}

// reject answers that the request is invalid or not allowed.
func (c *call) reject(status int, why reason) {
	c.reason = why
	c.outcome = rejected
	c.writeLocalAnswer(status, string(why))
}

// writeLocalAnswer writes an answer that this entry host generated.
func (c *call) writeLocalAnswer(status int, text string) {
	c.status = status
	h := c.w.Header()
	if c.mayDecline() {
		h.Set(relayDeclinedHeader, string(linksLost))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if id := c.r.Header.Get(c.gateway.cfg.Headers.Attempt); id != "" {
		h.Set(c.gateway.cfg.Headers.Attempt, id)
	}
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	c.w.WriteHeader(status)
	_, _ = io.WriteString(c.w, text+"\n") // the Content-Length shows the client a truncated body
}

// finish records the request. An answer that is incomplete is aborted, since the status has already
// been sent and nothing else would tell the client. So is one that was not begun because the client
// left: net/http would end it as an empty success, which a client that closed only its sending side
// can still read.
func (c *call) finish() {
	c.recordResult()
	if c.outcome == clientLeft || c.headerSent && c.outcome == cutShort {
		panic(http.ErrAbortHandler)
	}
}

// recordResult updates the metrics and writes the log line of the request.
func (c *call) recordResult() {
	now := c.gateway.now()
	if c.origin != nil {
		c.gateway.metrics.Relays.WithLabelValues("taken", string(c.outcome)).Inc()
	} else {
		c.gateway.metrics.recordRequest(c, now-c.began)
	}
	if c.firstEventAt != 0 {
		c.gateway.metrics.FirstEvent.WithLabelValues(c.model).Observe((c.firstEventAt - c.began).Seconds())
		c.gateway.metrics.StreamPause.Observe(c.longestPause.Seconds())
	}
	if !c.gateway.requestLog.allow(now, c.outcome == served) {
		return
	}
	version := int64(-1)
	if c.index != nil {
		version = c.index.Set.Version
	}
	c.gateway.cfg.Logger.Info("request ended",
		"request", c.r.Header.Get(c.gateway.cfg.Headers.Attempt), "fingerprint", c.fingerprint, "route", c.routeName(), "outcome", c.outcome, "status", c.status,
		"reason", c.reason, "upstream", c.upstream, "placer", c.placer, "relay", c.relay, "from", c.originName(), "sent", c.sent, "resumed", c.resumed, "model", c.model,
		"ms", (now - c.began).Milliseconds(), "first_ms", max((c.firstEventAt-c.began).Milliseconds(), 0), "pause_ms", c.longestPause.Milliseconds(),
		"left_ms", max(c.deadline-now, 0).Milliseconds(), "document", version,
		"view_age_ms", (now - time.Duration(c.gateway.lastSync.Load())).Milliseconds(), "inputs", c.choiceSummary, "cause", c.cause)
}
