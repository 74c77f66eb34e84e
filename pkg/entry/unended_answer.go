package entry

import "github.com/sesamemux/sesamemux/pkg/upstream"

// latePart is the last part of a request's time. Clients whose time is over may leave in it: theirs
// began earlier.
const latePart = 0.1

// timeIsOver reports whether a request that ended now ended because of its time.
func (c *call) timeIsOver() bool {
	return float64(c.remaining()) <= latePart*float64(c.deadline-c.began)
}

// judged reports whether an answer of which a remainder may be unread is known to be a success or a
// failure of its upstream. A success is one only once it has ended.
func (a *upstreamAnswer) judged() bool { return a.rest == nil || a.status >= 500 }

// recordAnswer records an answer at its upstream.
func (c *call) recordAnswer(a *upstreamAnswer) {
	c.gateway.balancer.recordAnswer(c.gateway.now(), a.placement.target, a.status < 500)
}

// recordUnendedAnswer holds an answer against its upstream that had not ended when the time of the request
// was over. It is not held against the request.
func (c *call) recordUnendedAnswer(p *placement) {
	g := c.gateway
	if g.links.lostSince(p.chosenAt) {
		return
	}
	g.balancer.recordFailure(g.now(), p.target)
	if g.requestLog.allow(g.now(), false) {
		g.cfg.Logger.Info("answer had not ended when the time of its request was over", "request", c.r.Header.Get(g.cfg.Headers.Attempt),
			"upstream", p.upstream.ID, "born", p.upstream.StartedMS)
	}
}

// recordAbandonedAnswer records that the client left during an answer that is read completely before it is
// forwarded. Its upstream is to blame if the client had waited for as long as it can.
func (c *call) recordAbandonedAnswer(p *placement, resp *upstream.Response) {
	if c.clientGone() && c.timeIsOver() && resp != nil {
		c.recordUnendedAnswer(p)
	}
}

// recordAbandonedStream records that the client left a stream. Its upstream is to blame if it sent more
// events than the client allowed tokens.
func (s *streamRelay) recordAbandonedStream(p *placement) {
	c := s.call
	if most, named := namedAnswerTokens(c.service.Engine, c.r.Header.Get(c.gateway.cfg.Headers.TokenCounts)); named && s.events > most {
		c.recordUnendedAnswer(p)
	}
}
