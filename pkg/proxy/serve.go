package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/retry"
)

// serve attempts a call until it ends. It returns nil once the caller has a complete
// answer, and otherwise the refusal to send.
func (p *Proxy) serve(ctx context.Context, c *call, s sink) *refusal {
	q := p.queue(c.modelGroup)
	for {
		if r := p.checkSuspects(c); r != nil {
			return c.withOverallOutcome(r)
		}
		g := q.wait(ctx, c)
		if g.refusal != nil {
			return c.withOverallOutcome(g.refusal)
		}
		c.attempt++
		res := p.attempt(ctx, q, c, g, s)
		q.callEnded(c)
		c.outcome = outcome.Combine(c.outcome, res.outcome)
		if res.complete {
			return nil
		}
		if r := p.retryOrRefuse(ctx, c, res); r != nil {
			return c.withOverallOutcome(r)
		}
	}
}

// withOverallOutcome sets the outcome of a refusal to that of all attempts combined.
func (c *call) withOverallOutcome(r *refusal) *refusal {
	r.Outcome = outcome.Combine(c.outcome, r.Outcome)
	return r
}

// retryOrRefuse returns nil if a failed call may be retried, and otherwise the refusal.
func (p *Proxy) retryOrRefuse(ctx context.Context, c *call, res result) *refusal {
	if ctx.Err() != nil {
		return refuseForContext(ctx)
	}
	if res.final != nil {
		return res.final
	}
	if res.notCharged {
		c.ticket = p.counter.Add(1)
		return nil
	}
	v := retry.Decide(retry.Failure{
		NotRun:     res.outcome == outcome.NotRun,
		Idempotent: true, // generating text has no side effects
		Attempts:   c.attempt,
		Crashes:    c.crashes,
		TimeLeft:   time.Until(c.deadline),
	}, p.budget)
	p.metrics.retried(string(v))
	p.log.Info("attempt failed", "request", c.traceID, "attempt", c.attempt, "offset", c.tracker.Offset(), "verdict", v, "err", res.err)
	if v == retry.Retry {
		c.retries++
		c.ticket = p.counter.Add(1)
		return nil
	}
	r := refuse(http.StatusBadGateway, outcome.ReasonUpstreamFailed, "the upstream failed and the request was not retried: "+string(v))
	if v == retry.DeadlineExceeded {
		r = refuseDeadline()
	}
	if v != retry.TooManyCrashes {
		r.withRetryAfter(defaultRetryAfter)
	}
	return r
}
