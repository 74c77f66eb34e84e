package entry

import (
	"context"
	"errors"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/endcheck"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/upstream"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// requestFingerprint identifies what the client asks for. It is the same for each arrival of the
// request, at every entry host.
func (c *call) requestFingerprint() view.Fingerprint {
	c.fingerprintOnce.Do(c.identify)
	return c.fingerprint
}

// partFingerprints identifies the parts of the prompt but the last, which belongs to the request or
// its session alone. It is empty if the request names none.
func (c *call) partFingerprints() []view.Fingerprint {
	c.fingerprintOnce.Do(c.identify)
	return c.parts
}

func (c *call) identify() {
	c.fingerprint = suspect.ExactFingerprint(c.organisation, c.r.Host, c.r.RequestURI, c.body)
	c.parts = readPromptParts(c.r.Header.Values(c.gateway.cfg.Headers.PromptParts))
}

// fingerprints identifies the request and the parts of its prompt.
func (c *call) fingerprints() []view.Fingerprint {
	return append([]view.Fingerprint{c.requestFingerprint()}, c.partFingerprints()...)
}

// brokeOff reports whether an attempt failed because its upstream stopped sending. An upstream that
// ended before it had received the request did not end because of it.
func brokeOff(err error) bool {
	if errors.Is(err, upstream.ErrSendInterrupted) {
		return false
	}
	return errors.Is(err, upstream.ErrConnectionLost) || errors.Is(err, upstream.ErrStalled) || errors.Is(err, errAbandoned)
}

// leftUnanswered reports whether an attempt ended while its upstream may still run the request: the time
// was over, or nobody waits for the answer any more.
func leftUnanswered(err error) bool {
	return !provesNotRun(err) && !errors.Is(err, upstream.ErrSendInterrupted) &&
		(errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled))
}

// endStateOf finds out whether an upstream that broke off an attempt has ended.
func (g *Gateway) endStateOf(u *fleet.Upstream, err error) endcheck.State {
	if !errors.Is(err, upstream.ErrConnectionLost) {
		return endcheck.Unknown
	}
	return g.checkEnd(u)
}

// checkEnd finds out whether an upstream that has just closed a connection has ended.
func (g *Gateway) checkEnd(u *fleet.Upstream) endcheck.State {
	return g.ends.Check(g.now(), endcheck.Incarnation{ID: u.ID, StartedMS: u.StartedMS}, u.Address)
}

// inspectFailure finds out whether the upstream of a failed attempt has ended, logs it and tells the
// quarantine.
func (c *call) inspectFailure(p *placement, err error) {
	g, u := c.gateway, &p.upstream
	noticed := g.now()
	switch {
	case c.route.Kind != catalog.Stream && leftUnanswered(err):
		c.watchRun(p)
		return
	case leftUnanswered(err): // the stream accuses the parts of its prompt while it lasts
		c.leaveRun(p, err)
		return
	case !brokeOff(err):
		c.settleAttempt(p, noticed, endcheck.Unknown, err)
		return
	}
	state := g.endStateOf(u, err)
	c.settleAttempt(p, noticed, state, err)
	g.metrics.BrokenAttempts.WithLabelValues(string(state)).Inc()
	if g.requestLog.allow(g.now(), false) {
		g.cfg.Logger.Info("upstream broke off a request", "request", c.r.Header.Get(g.cfg.Headers.Attempt), "fingerprint", c.requestFingerprint(), "parts", c.partFingerprints(),
			"organisation", c.organisation, "upstream", u.ID, "born", u.StartedMS, "upstream_state", state, "executions", c.possibleExecutions,
			"most", c.route.MaxAttempts, "answer_begun", c.headerSent, "cause", err)
	}
}
