package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/retry"
)

// serve brings a call to its end. It returns nil when the caller has a whole
// answer, or how to refuse it.
func (p *Proxy) serve(ctx context.Context, c *call, s sink) *refusal {
	q := p.queue(c.modelGroup)
	for {
		if r := p.judge(c); r != nil {
			return c.finalise(r)
		}
		g := q.wait(ctx, c)
		if g.refusal != nil {
			return c.finalise(g.refusal)
		}
		c.attempt++
		res := p.attempt(ctx, q, c, g, s)
		q.ended(c)
		c.outcome = outcome.Combine(c.outcome, res.outcome)
		if res.whole {
			return nil
		}
		if r := p.again(ctx, c, res); r != nil {
			return c.finalise(r)
		}
	}
}

// finalise gives a refusal the outcome over all attempts.
func (c *call) finalise(r *refusal) *refusal {
	r.Outcome = outcome.Combine(c.outcome, r.Outcome)
	return r
}

// again decides whether a failed call is tried again; nil says yes.
func (p *Proxy) again(ctx context.Context, c *call, res result) *refusal {
	if ctx.Err() != nil {
		return givenUp(ctx)
	}
	if res.final != nil {
		return res.final
	}
	if res.free {
		c.ticket = p.counter.Add(1)
		return nil
	}
	v := retry.Decide(retry.Failure{
		NotRun:     res.outcome == outcome.NotRun,
		Idempotent: true, // generating text has no effect besides the work
		Attempts:   c.attempt,
		Crashes:    c.crashes,
		TimeLeft:   time.Until(c.deadline),
	}, p.budget)
	p.metrics.retried(string(v))
	p.log.Info("attempt failed", "request", c.trace, "attempt", c.attempt, "offset", c.tracker.Offset(), "verdict", v, "err", res.err)
	if v == retry.Retry {
		c.retries++
		c.ticket = p.counter.Add(1)
		return nil
	}
	r := refuse(http.StatusBadGateway, outcome.ReasonUpstreamFailed, "upstream broke off: "+string(v))
	if v == retry.DeadlineExceeded {
		r = refuseDeadline()
	}
	if v != retry.TooManyCrashes {
		r.after(leaseRetry)
	}
	return r
}
