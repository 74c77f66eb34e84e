package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

var (
	// errNotRun says that the upstream answered that it did not run the request.
	errNotRun = eris.New("upstream did not run the request")
	// errForeign says that an answer is to another request, or no answer of
	// the upstream's.
	errForeign = eris.New("answer is not to this request")
	// errMoved says that this entry host gave the attempt up.
	errMoved = eris.New("attempt was given up for another upstream")
)

// oneConnection are headers that concern one connection only.
var oneConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// header returns the headers for an upstream.
func (c *call) header(t *target, lastEvent string) http.Header {
	names := c.gate.cfg.Headers
	drop := map[string]bool{}
	for _, v := range c.r.Header.Values("Connection") {
		for _, n := range strings.Split(v, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	h := make(http.Header, len(c.r.Header)+4)
	for name, values := range c.r.Header {
		if oneConnection[name] || drop[name] {
			continue
		}
		h[name] = values
	}
	if c.index.RequiresAPIKey() {
		h.Del("Authorization")
	}
	h.Del(names.Organisation)
	if c.organisation != "" {
		h.Set(names.Organisation, c.organisation)
	}
	h.Set(names.Incarnation, t.ID)
	h.Set(names.Deadline, strconv.FormatInt(max(c.left().Milliseconds(), 1), 10))
	if lastEvent != "" {
		h.Set(names.LastEventID, lastEvent)
	}
	return h
}

// exchange sends the request to an upstream and returns the head of its
// answer. errNotRun and upstream.ErrNotSent say that it did not run.
func (c *call) exchange(ctx context.Context, t *target, lastEvent string) (*upstream.Response, error) {
	c.upstream = t.ID
	c.tried[t.ID] = true
	resp, err := c.gate.pool.Do(ctx, &upstream.Request{
		Address: t.Address,
		Host:    c.r.Host,
		Method:  c.r.Method,
		Path:    c.r.RequestURI,
		Header:  c.header(t, lastEvent),
		Body:    c.body,
		// A connection that was idle may be closed by the other end at any
		// moment; what was sent on it then may have run.
		NewConnection: c.route.Kind == catalog.AtMostOnce,
	})
	if err != nil {
		if !eris.Is(err, upstream.ErrNotSent) {
			c.sent++
		}
		return nil, err
	}
	c.sent++
	names := c.gate.cfg.Headers
	switch {
	case resp.Header.Get(names.Attempt) != c.r.Header.Get(names.Attempt):
		resp.Close()
		return nil, eris.Wrapf(errForeign, "attempt %q answered", resp.Header.Get(names.Attempt))
	case resp.Header.Get("Content-Encoding") != "":
		resp.Close()
		return nil, eris.Wrap(errForeign, "body is encoded")
	case resp.Status == http.StatusMisdirectedRequest, notRunStatus[resp.Status] && resp.Header.Get(names.NotRun) != "":
		err := eris.Wrapf(errNotRun, "upstream answered %d", resp.Status)
		c.discard(resp)
		return nil, err
	}
	return resp, nil
}

// notRunStatus are the answers that may say that a request did not run.
var notRunStatus = map[int]bool{
	http.StatusBadRequest: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// discard reads the rest of a short answer, so that its connection can be used
// again.
func (c *call) discard(resp *upstream.Response) {
	var rest [4 << 10]byte
	for range 4 {
		if _, err := resp.Body.Read(rest[:]); err != nil {
			break
		}
	}
	resp.Close()
}

// proves tells whether an error says that the request did not run.
func proves(err error) bool { return eris.Is(err, errNotRun) || eris.Is(err, upstream.ErrNotSent) }

// mayRepeat tells whether the request may go to one more upstream after one
// that ended with err. It spends the budget.
func (c *call) mayRepeat(err error) bool {
	switch {
	case c.ctx.Err() != nil:
		return false
	case !c.route.Retryable() && !proves(err):
		return false
	case c.left() < leastTime:
		c.reason = timeIsOver
		return false
	case !proves(err) && c.ranOn >= c.route.MaxAttempts:
		c.reason = "it was sent to as many upstreams as its route allows"
		return false
	case !eris.Is(err, upstream.ErrNotSent) && !c.gate.budget.spend(c.service.Name):
		c.reason = budgetSpent
		return false
	}
	c.gate.metrics.Retries.WithLabelValues(cause(err)).Inc()
	return true
}

// failedOnce notes an attempt that failed.
func (c *call) failedOnce(err error) {
	c.cause = err
	if !proves(err) {
		c.ranOn++
	}
}

// leastTime is the time below which a request is not sent once more.
const leastTime = 20 * time.Millisecond

func cause(err error) string {
	switch {
	case eris.Is(err, errNotRun):
		return "not run"
	case eris.Is(err, upstream.ErrNotSent):
		return "not sent"
	case eris.Is(err, errMoved):
		return "silent"
	case eris.Is(err, errForeign):
		return "foreign answer"
	}
	return "broken"
}

// blame notes at the upstream how an attempt failed.
func (c *call) blame(t *target, err error) {
	g := c.gate
	now := g.now()
	switch {
	case c.ctx.Err() != nil:
	case eris.Is(err, errNotRun):
		g.balancer.full(now, t)
	case eris.Is(err, upstream.ErrNotSent):
		g.balancer.failed(now, t)
		if t.IsOpenHead() {
			g.suspectHead(now, t, true)
		}
	default:
		g.balancer.failed(now, t)
	}
}

// suspectHead keeps requests from a head and tells the coordinator.
func (g *Gateway) suspectHead(now time.Duration, t *target, refusedConn bool) {
	fresh, silent := g.balancer.suspect(now, t)
	if fresh {
		g.report(t, silent, refusedConn)
	}
}

// retryAfter returns when a refused client should come back: the further off
// the next free place, the later, and spread so that callers don't come back
// together.
func (c *call) retryAfter(why reason) time.Duration {
	base := map[reason]time.Duration{
		allFull:     400 * time.Millisecond,
		coldBound:   300 * time.Millisecond,
		allFailing:  600 * time.Millisecond,
		noUpstream:  900 * time.Millisecond,
		budgetSpent: 800 * time.Millisecond,
	}[why]
	if base == 0 {
		base = 500 * time.Millisecond
	}
	// A client waits a third of its time at most.
	again := base + time.Duration(c.gate.balancer.float()*float64(base))
	return max(min(again, c.left()/3-10*time.Millisecond), 50*time.Millisecond)
}
