package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

var (
	// errNotRun is returned if the upstream stated that it did not run the request.
	errNotRun = eris.New("upstream did not run the request")
	// errMismatchedAnswer is returned if an answer belongs to another request or was not produced
	// by the upstream.
	errMismatchedAnswer = eris.New("answer does not belong to this request")
	// errUnsigned is returned if a success does not carry the signature of an upstream.
	errUnsigned = eris.Wrap(errMismatchedAnswer, "successful answer without a signature")
	// errAbandoned is returned if another upstream answered while the upstream was silent.
	errAbandoned = eris.New("attempt abandoned in favour of another upstream")
	// errLinksLost is returned if a silent attempt was given up because this entry host can reach no
	// upstream.
	errLinksLost = eris.New("this entry host lost its links to upstreams")
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// forwardedHeader returns the client's header without fields that apply to its connection, with the time
// that is left and the event after which a stream continues.
func (c *call) forwardedHeader(lastEventID string) http.Header {
	names := c.gateway.cfg.Headers
	drop := map[string]bool{}
	for _, v := range c.r.Header.Values("Connection") {
		for _, n := range strings.Split(v, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	h := make(http.Header, len(c.r.Header)+4)
	for name, values := range c.r.Header {
		if hopByHopHeaders[name] || drop[name] {
			continue
		}
		h[name] = values
	}
	h.Set(names.Deadline, strconv.FormatInt(max(c.remaining().Milliseconds(), 1), 10))
	if lastEventID != "" {
		h.Set(names.LastEventID, lastEventID)
	}
	return h
}

// upstreamHeader returns the header of the request to an upstream.
func (c *call) upstreamHeader(u *fleet.Upstream, lastEvent string) http.Header {
	names := c.gateway.cfg.Headers
	h := c.forwardedHeader(lastEvent)
	if c.index.RequiresAPIKey() {
		h.Del("Authorization")
	}
	h.Del(names.Organisation)
	if c.organisation != "" {
		h.Set(names.Organisation, c.organisation)
	}
	h.Set(names.Incarnation, u.ID)
	return h
}

// exchange sends the request to an upstream and returns its answer with an unread body. errNotRun
// and upstream.ErrNotSent guarantee that the request did not run. It does not change c.
func (c *call) exchange(ctx context.Context, u *fleet.Upstream, lastEvent string) (*upstream.Response, error) {
	sentAt := c.gateway.now()
	resp, err := c.gateway.pool.Do(ctx, &upstream.Request{
		Address: u.Address,
		Host:    c.r.Host,
		Method:  c.r.Method,
		Path:    c.r.RequestURI,
		Header:  c.upstreamHeader(u, lastEvent),
		Body:    c.body,
		// The other end may close an idle connection at any moment; a request sent on it could then
		// have run.
		NewConnection: c.route.Kind == catalog.AtMostOnce,
		BeforeSend:    func() error { return c.gateway.balancer.mayReceive(c.gateway.now(), u) },
		Question:      c.questionFirst(u),
	})
	if err != nil {
		return nil, err
	}
	c.gateway.links.heard(sentAt)
	if err := c.checkBelongs(resp); err != nil {
		resp.Close()
		return nil, err
	}
	if resp.Status != http.StatusMisdirectedRequest {
		c.gateway.noteLimit(u, sentAt, resp.Header)
		c.gateway.noteAnswer(u, resp.Status, resp.Header)
	}
	switch {
	case resp.Header.Get("Content-Encoding") != "":
		resp.Close()
		return nil, eris.Wrap(errMismatchedAnswer, "answer has a Content-Encoding")
	case resp.Status == http.StatusMisdirectedRequest, notRunStatuses[resp.Status] && resp.Header.Get(c.gateway.cfg.Headers.NotRun) != "":
		err := eris.Wrapf(errNotRun, "upstream answered %d", resp.Status)
		c.discard(resp)
		return nil, err
	}
	return resp, nil
}

// questionFirst returns what is asked before the request is sent to an upstream whose link may lead nowhere,
// or nil. A request that must not be repeated is not risked on it.
func (c *call) questionFirst(u *fleet.Upstream) *http.Request {
	g := c.gateway
	if !g.balancer.isUnproven(u.ID) {
		return nil
	}
	question, err := g.linkQuestion(witness{u.Address, u.Service})
	if err != nil {
		g.cfg.Logger.Warn("upstream can't be asked before a request", "upstream", u.ID, "cause", err)
		return nil
	}
	return question
}

// checkBelongs returns an error unless an answer is a final one to this request.
func (c *call) checkBelongs(resp *upstream.Response) error {
	attempt := c.gateway.cfg.Headers.Attempt
	switch {
	case resp.Status < http.StatusOK:
		return eris.Wrapf(errMismatchedAnswer, "status %d is not of a final answer", resp.Status)
	case resp.Header.Get(attempt) != c.r.Header.Get(attempt):
		return eris.Wrapf(errMismatchedAnswer, "answer is for attempt %q", resp.Header.Get(attempt))
	}
	return nil
}

// recordExchange records the result of an exchange with an upstream.
func (c *call) recordExchange(p *placement, resp *upstream.Response, err error) {
	c.upstream, c.upstreamBorn, c.runBegan = p.upstream.ID, p.upstream.StartedMS, p.chosenAt
	c.tried[p.upstream.ID] = true
	if !errors.Is(err, upstream.ErrNotSent) {
		c.sent++
	}
	if resp != nil {
		c.framed = resp.Framed
	}
}

// notRunStatuses are the status codes with which an upstream may state that a request did not run.
var notRunStatuses = map[int]bool{
	http.StatusBadRequest: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// discard reads the rest of a short answer, so that its connection can be reused.
func (c *call) discard(resp *upstream.Response) {
	var rest [4 << 10]byte
	for range 4 {
		if _, err := resp.Body.Read(rest[:]); err != nil {
			break
		}
	}
	resp.Close()
}

// provesNotRun reports whether an error guarantees that the request did not run.
func provesNotRun(err error) bool {
	return errors.Is(err, errNotRun) || errors.Is(err, upstream.ErrNotSent)
}

// mayRepeat reports whether the request may be sent to another upstream after an attempt that ended
// with err. It takes from the retry budget.
func (c *call) mayRepeat(err error) bool {
	switch {
	case c.ctx.Err() != nil:
		return false
	case !c.route.Retryable() && !provesNotRun(err):
		return false
	case c.remaining() < minRetryTime:
		c.reason = deadlineReached
		return false
	case !provesNotRun(err) && c.possibleExecutions >= c.route.MaxAttempts:
		c.reason = "attempt limit of the route is reached"
		return false
	case !errors.Is(err, upstream.ErrNotSent) && !c.gateway.budget.spend(c.service.Name):
		c.reason = retryBudgetSpent
		return false
	}
	c.gateway.metrics.Retries.WithLabelValues(retryCause(err)).Inc()
	return true
}

// recordFailedAttempt records the error of an attempt.
func (c *call) recordFailedAttempt(err error) {
	c.cause = err
	if !provesNotRun(err) {
		c.possibleExecutions++
	}
}

// minRetryTime is the remaining time below which a request is not retried.
const minRetryTime = 20 * time.Millisecond

// retryCause returns the metric label for an error that leads to a retry.
func retryCause(err error) string {
	switch {
	case errors.Is(err, errNotRun):
		return "not run"
	case errors.Is(err, upstream.ErrNotSent):
		return "not sent"
	case errors.Is(err, errAbandoned):
		return "silent"
	case errors.Is(err, errMismatchedAnswer):
		return "foreign answer"
	}
	return "broken"
}

// recordUpstreamFailure records at the upstream how an attempt failed.
func (c *call) recordUpstreamFailure(p *placement, err error) {
	g, t := c.gateway, p.target
	now := g.now()
	switch {
	case c.ctx.Err() != nil:
	case errors.Is(err, upstream.ErrNotSent) && c.remaining() <= 0: // the request ended the attempt, not the upstream
	case errors.Is(err, errNotRun):
		g.balancer.recordRejection(now, t)
	case errors.Is(err, errWithheld): // which is no failure of the upstream
	case g.links.lostSince(p.chosenAt): // the attempt failed because of this entry host's links
	case errors.Is(err, upstream.ErrNotSent):
		g.balancer.recordUnreachable(now, t)
		if p.upstream.IsOpenHead() {
			g.suspectHead(now, p, true)
		}
	default:
		g.balancer.recordFailure(now, t)
	}
}

// suspectHead withholds new requests from a head and reports it to the coordinator.
func (g *Gateway) suspectHead(now time.Duration, p *placement, refusedConn bool) {
	fresh, silent := g.balancer.suspect(now, p.target)
	if fresh {
		g.reportSuspect(p.upstream.ID, silent, refusedConn)
	}
}

// retryAfter returns when a refused client should retry. The delay grows with the expected time
// until capacity is free, and is randomized so that clients do not return together.
func (c *call) retryAfter(why reason) time.Duration {
	if why == endsUpstreams {
		return max(time.Until(time.UnixMilli(c.refusedUntilMS)), time.Second)
	}
	if why == limitReached {
		c.gateway.metrics.LimitedRefusals.Inc()
		return c.gateway.balancer.untilAllowed(c.gateway.now(), placementRequest{service: c.service, model: c.model})
	}
	if pause := c.gateway.balancer.untilPauseEnds(c.gateway.now(), placementRequest{service: c.service, model: c.model}); pause > 0 {
		c.gateway.metrics.PauseRefusals.Inc()
		return pause + time.Duration(c.gateway.balancer.randomFloat()*float64(pauseSpread))
	}
	base := map[reason]time.Duration{
		allFull:          400 * time.Millisecond,
		warmupBound:      300 * time.Millisecond,
		allExcluded:      600 * time.Millisecond,
		noUpstream:       900 * time.Millisecond,
		retryBudgetSpent: 800 * time.Millisecond,
		trialRunning:     800 * time.Millisecond,
	}[why]
	if base == 0 {
		base = 500 * time.Millisecond
	}
	// Clients wait for at most a third of their remaining time.
	again := base + time.Duration(c.gateway.balancer.randomFloat()*float64(base))
	return max(min(again, c.remaining()/3-10*time.Millisecond), 50*time.Millisecond)
}
