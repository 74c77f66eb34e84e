package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// serveWhole serves a request whose answer is passed on once it is whole.
func (c *call) serveWhole() {
	g := c.gate
	var lastFailure *wholeAnswer
	for {
		need := wish{service: c.service, tried: c.tried}
		p, why := g.balancer.choose(g.now(), need)
		if p == nil {
			c.inputs = g.balancer.inputs(g.now(), need)
			c.wholeWithout(why, lastFailure)
			return
		}
		t := p.target
		a, err := c.tryWhole(t)
		g.balancer.done(p)
		if err == nil && (a.status < 500 || c.route.Kind != catalog.Idempotent) {
			g.balancer.answered(g.now(), t, a.status < 500)
			c.passOn(a)
			return
		}
		if err == nil {
			g.balancer.answered(g.now(), t, false)
			lastFailure = a
			err = eris.Errorf("upstream answered %d", a.status)
		} else {
			c.blame(t, err)
		}
		c.failedOnce(err)
		if c.ctx.Err() != nil {
			c.outcome = clientLeft
			return
		}
		if !c.mayRepeat(err) {
			c.wholeWithout(c.reason, lastFailure)
			return
		}
	}
}

// wholeWithout answers when no further upstream is asked: with the last
// upstream's own failure if there is one.
func (c *call) wholeWithout(why reason, failure *wholeAnswer) {
	switch {
	case failure != nil:
		c.passOn(failure)
	case c.left() <= leastTime && c.sent > 0:
		c.giveUp(http.StatusGatewayTimeout, timeIsOver)
	case c.ranOn > 0:
		c.giveUp(http.StatusBadGateway, "upstream broke off")
	default:
		c.refuse(why, c.retryAfter(why))
	}
}

// wholeAnswer is an upstream's answer that was read to its end, or to the
// bound up to which answers are kept.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	rest   *upstream.Response // what is beyond the bound; nil when whole
	stop   context.CancelFunc
}

// tryWhole asks one upstream.
func (c *call) tryWhole(t *target) (*wholeAnswer, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.attemptTime())
	resp, err := c.exchange(ctx, t, "")
	if err != nil {
		cancel()
		return nil, err
	}
	var body bytes.Buffer
	_, err = io.CopyN(&body, resp.Body, bufferedAnswer)
	a := &wholeAnswer{status: resp.Status, header: resp.Header, body: body.Bytes(), stop: cancel}
	if err == nil {
		a.rest = resp
		return a, nil
	}
	resp.Close()
	cancel()
	if err != io.EOF {
		return nil, err
	}
	return a, c.genuine(a)
}

// attemptTime returns how long one upstream may take: all that is left, or a
// part of it while another upstream could still be asked.
func (c *call) attemptTime() time.Duration {
	left := c.left()
	if c.route.Retryable() && c.ranOn+1 < c.route.MaxAttempts {
		return time.Duration(float64(left) * hedgeAfter)
	}
	return left
}

// genuine tells whether an answer is the upstream's own: a success bears its
// signature. An answer that promises that a request did not run without the
// upstream's word for it is not passed on.
func (c *call) genuine(a *wholeAnswer) error {
	names := c.gate.cfg.Headers
	if a.status < 300 && a.header.Get(names.Signature) == "" {
		return eris.Wrap(errForeign, "success without a signature")
	}
	if notRunStatus[a.status] && a.status != http.StatusBadRequest {
		return eris.Wrapf(errForeign, "status %d without word that it did not run", a.status)
	}
	return nil
}

// passOn gives an upstream's answer to the client.
func (c *call) passOn(a *wholeAnswer) {
	c.status = a.status
	c.outcome = served
	if a.status >= 400 {
		c.outcome = failedBy
	}
	c.copyHeader(a.header)
	if a.rest == nil {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.status)
	c.headSent = true
	_, err := c.w.Write(a.body)
	if a.rest != nil {
		defer a.stop()
		defer a.rest.Close()
		if err == nil {
			_, err = io.Copy(c.w, a.rest.Body)
		}
	}
	if err != nil {
		c.cause = err
		c.outcome = cutShort
	}
}

// copyHeader passes an answer's headers on.
func (c *call) copyHeader(from http.Header) {
	h := c.w.Header()
	closing := h.Get("Connection")
	for name, values := range from {
		if !oneConnection[name] {
			h[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		h["Content-Type"] = nil // none is guessed
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
}
