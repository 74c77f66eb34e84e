package entry

import (
	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/endcheck"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// confirmEnd checks an answer that was read to its end. One without a length or chunks ends with its
// connection, which a process that ends closes too. Unless the incarnation that gave the answer is found
// alive it returns upstream.ErrConnectionLost, also for an upstream that had announced that it leaves: it
// may be gone before it has written all.
func (c *call) confirmEnd(p *placement, resp *upstream.Response) error {
	if resp.Framed {
		return nil
	}
	g, u := c.gateway, &p.upstream
	state := g.checkEnd(u)
	switch state {
	case endcheck.Alive:
		if g.answersAs(c.ctx, u) {
			c.framed = true
			return nil
		}
	case endcheck.Ended, endcheck.Refuses:
		return eris.Wrap(upstream.ErrConnectionLost, "upstream ended behind an answer without a length")
	case endcheck.Unknown, endcheck.LinkLost:
	}
	if g.requestLog.allow(g.now(), false) {
		g.cfg.Logger.Warn("upstream is not known to be alive behind an answer without a length; not taken as complete",
			"request", c.r.Header.Get(g.cfg.Headers.Attempt), "upstream", u.ID, "born", u.StartedMS, "upstream_state", state)
	}
	return eris.Wrap(upstream.ErrConnectionLost, "upstream is not known to be alive behind an answer without a length")
}
