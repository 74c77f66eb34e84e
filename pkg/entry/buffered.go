package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// serveBuffered serves a request whose answer is read completely, up to a size limit, before it is
// forwarded.
func (c *call) serveBuffered() {
	g := c.gateway
	attempts := newBufferedAttempts(c)
	for {
		if g.links.cutOff() {
			if c.origin != nil || !attempts.serveByPeer() {
				c.endBuffered(linksLost, attempts.failure)
			}
			return
		}
		if why := c.mayRun(); why != noReason {
			c.endBuffered(why, attempts.failure)
			return
		}
		req := placementRequest{service: c.service, tried: c.tried}
		p, why := g.balancer.choose(g.now(), req)
		if c.peersMayReach(why, req) && attempts.serveByPeer() {
			return
		}
		if p == nil {
			c.choiceSummary = g.balancer.choiceSummary(g.now(), req)
			c.endBuffered(why, attempts.failure)
			return
		}
		a, err := attempts.run(p)
		if err == nil {
			attempts.failure.close()
			c.forwardAnswer(a)
			return
		}
		if c.clientGone() {
			c.outcome = clientLeft
			return
		}
		if c.ctx.Err() != nil {
			c.endBuffered(processStops, attempts.failure)
			return
		}
		if !c.mayRepeat(err) {
			c.endBuffered(c.reason, attempts.failure)
			return
		}
	}
}

// endBuffered answers the client when no further upstream is tried, with the last error answer of
// an upstream if there is one.
func (c *call) endBuffered(why reason, failure *upstreamAnswer) {
	switch {
	case failure != nil:
		c.forwardAnswer(failure)
	case c.remaining() <= minRetryTime && c.sent > 0:
		c.failUnknown(http.StatusGatewayTimeout, deadlineReached)
	case c.possibleExecutions > 0 && why == processStops:
		c.failUnknown(http.StatusBadGateway, why)
	case c.possibleExecutions > 0:
		c.failUnknown(http.StatusBadGateway, "upstream failed; the request may have run")
	default:
		c.refuse(why, c.retryAfter(why))
	}
}

// upstreamAnswer is an upstream's answer, read completely or up to maxBufferedAnswer.
type upstreamAnswer struct {
	placement *placement
	status    int
	header    http.Header
	body      []byte
	rest      *upstream.Response // the unread remainder; nil if the body is complete
	stop      context.CancelFunc
}

// readAnswer reads an answer up to maxBufferedAnswer and confirms its end. If there is more, it calls
// lift, after which the attempt must not be ended before the deadline. stop ends the attempt; it is
// called once the answer is complete, unusable or closed.
func (c *call) readAnswer(p *placement, resp *upstream.Response, lift func() error, stop context.CancelFunc) (*upstreamAnswer, error) {
	a, err := c.fetchAnswer(p, resp, lift, stop)
	if err == nil && a.rest == nil {
		err = c.confirmEnd(p, resp)
	}
	if err != nil {
		return nil, err
	}
	return a, nil
}

// fetchAnswer is readAnswer without the confirmation of the answer's end. It does not change c.
func (c *call) fetchAnswer(p *placement, resp *upstream.Response, lift func() error, stop context.CancelFunc) (*upstreamAnswer, error) {
	a := &upstreamAnswer{placement: p, status: resp.Status, header: resp.Header, rest: resp, stop: stop}
	if err := c.verifyAnswer(a); err != nil {
		a.close()
		return nil, err
	}
	err := a.readAhead()
	if err == nil && a.rest != nil {
		err = lift()
	}
	if err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

// readAhead reads the answer up to maxBufferedAnswer. If that is all of it, rest is nil afterwards.
func (a *upstreamAnswer) readAhead() error {
	var body bytes.Buffer
	_, err := io.CopyN(&body, a.rest.Body, maxBufferedAnswer)
	a.body = body.Bytes()
	if err == io.EOF {
		a.close()
		a.rest = nil
		return nil
	}
	return err
}

// close ends the attempt of an answer that is not read further.
func (a *upstreamAnswer) close() {
	if a != nil && a.rest != nil {
		a.rest.Close()
		a.stop()
	}
}

// verifyAnswer checks that an answer was produced by the upstream itself: a success must carry a
// signature. A status that means "not run" is not forwarded without the upstream's explicit
// statement.
func (c *call) verifyAnswer(a *upstreamAnswer) error {
	names := c.gateway.cfg.Headers
	if a.status < 300 && a.header.Get(names.Signature) == "" {
		return errUnsigned
	}
	if notRunStatuses[a.status] && a.status != http.StatusBadRequest {
		return eris.Wrapf(errMismatchedAnswer, "status %d without a not-run header", a.status)
	}
	return nil
}

// forwardAnswer writes an upstream's answer to the client.
func (c *call) forwardAnswer(a *upstreamAnswer) {
	c.outcome = served
	if a.status >= 400 {
		c.outcome = upstreamFailed
	}
	defer a.close()
	meter, err := c.writeAnswer(a)
	if err == nil && a.rest != nil {
		err = c.confirmEnd(a.placement, a.rest)
	}
	switch {
	case err != nil:
		c.recordCutAnswer(a, meter, err)
	case !a.judged():
		c.recordAnswer(a)
	}
}

// writeAnswer writes an answer and its unread remainder, which it measures, to the client.
func (c *call) writeAnswer(a *upstreamAnswer) (*answerMeter, error) {
	c.copyHeader(a.header)
	if a.rest == nil {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.answerBegins(a.status)
	_, err := c.w.Write(a.body)
	if a.rest == nil {
		return nil, err
	}
	meter := newAnswerMeter(a.rest.Body, c.gateway.now)
	if err == nil {
		_, err = io.Copy(c.w, meter)
	}
	return meter, err
}

// recordCutAnswer records that an answer could not be forwarded to its end. meter is that of its remainder,
// nil if there was none.
func (c *call) recordCutAnswer(a *upstreamAnswer, meter *answerMeter, err error) {
	c.recordFailedAttempt(err)
	c.outcome = cutShort
	switch {
	case brokeOff(err):
		c.recordUpstreamFailure(a.placement, err)
	case meter != nil && c.timeIsOver() && !meter.delayedByClient():
		c.recordUnendedAnswer(a.placement)
	}
	c.inspectFailure(a.placement, err)
}

// copyHeader copies end-to-end headers of an answer to the client's answer.
func (c *call) copyHeader(from http.Header) {
	h := c.w.Header()
	closing := h.Get("Connection")
	for name, values := range from {
		if !hopByHopHeaders[name] && !relayAnswerHeaders[name] {
			h[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from guessing one
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if c.origin != nil {
		h.Set(relayUpstreamHeader, fmt.Sprint(c.upstream, " ", c.upstreamBorn))
	}
}
