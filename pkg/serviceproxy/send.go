package serviceproxy

import (
	"context"
	"net/http"

	"github.com/sesamemux/sesamemux/pkg/edge/ask"
	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// send sends a call whose intent is recorded, and records how it ended.
func (p *Proxy) send(ctx context.Context, c *call, i once.Intent, at place) (result, bool) {
	p.event(EventSend, c, at.host.Name, "")
	limited, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	answer, err := p.transport.DoOnce(limited, c.attemptRequest(i, at), p.lastCheck(at), p.config.MaxAnswerBytes)
	at.release(p.permitEnd(at.host, err))
	o := p.ended(answer, err)
	p.event(EventEnd, c, at.host.Name, o)
	p.log.Info("once-only call ended", "request", c.id, "organisation", c.organisation, "service", c.name,
		"host", at.host.Name, "outcome", o, "err", err)
	switch {
	case o == outcome.Ran:
		return p.ran(ctx, i, answer), false
	case o == outcome.NotRun:
		return p.didNotRun(ctx, i, err)
	case p.config.Unsafe.ResendUnknown:
		return p.send(ctx, c, i, at)
	}
	return p.unknown(ctx, c, i, answer, limited), false
}

// attemptRequest returns the call with the name of its attempt, by which the
// service can be asked for it.
func (c *call) attemptRequest(i once.Intent, at place) *plaincall.Request {
	r := c.request(at.host)
	r.Header = c.header.Clone()
	r.Header.Set(ask.HeaderAttempt, i.Attempt)
	return r
}

// ended tells how a call ended.
func (p *Proxy) ended(a *plaincall.Response, err error) outcome.Outcome {
	if err != nil {
		return callOutcome(err)
	}
	o := plaincall.StatusOutcome(a.Status)
	if o == outcome.Unknown && p.config.Unsafe.TrustStatus {
		return outcome.NotRun
	}
	return o
}

// ran records an answer and replies with it.
func (p *Proxy) ran(ctx context.Context, i once.Intent, a *plaincall.Response) result {
	r := result{outcome: outcome.Ran, status: a.Status, header: a.Header, body: a.Body}
	r.pending = !p.conclude(ctx, conclusion(i, outcome.Ran, toRecord(a.Status, a.Header, a.Body, a.Size)))
	if !a.Complete() {
		r.refused = refuseWith(http.StatusBadGateway, outcome.Ran, outcome.ReasonAnswerNotKept, "it ran; its answer is too large to pass on")
	}
	return r
}

// didNotRun records that a call never left. Another host may be tried once
// that is recorded.
func (p *Proxy) didNotRun(ctx context.Context, i once.Intent, err error) (result, bool) {
	again := p.conclude(ctx, conclusion(i, outcome.NotRun, nil))
	p.log.Warn("once-only call was not sent", "attempt", i.Attempt, "host", i.Host, "err", err)
	r := notRun(http.StatusServiceUnavailable, outcome.ReasonUpstreamFailed, "the host could not be reached").after(retrySoon)
	if !p.config.Lease.Valid() {
		r = notRun(http.StatusServiceUnavailable, outcome.ReasonNoLease, "this gate may take no new work now").after(retrySoon)
		again = false
	}
	return result{refused: r}, again
}

// unknown asks the service how a call ended, records what it says, and
// replies with what is known.
func (p *Proxy) unknown(ctx context.Context, c *call, i once.Intent, a *plaincall.Response, limited context.Context) result {
	if res, ok := p.askOwn(ctx, c, i); ok {
		return res
	}
	pending := !p.conclude(ctx, conclusion(i, outcome.Unknown, nil))
	if a != nil && a.Complete() {
		return result{outcome: outcome.Unknown, status: a.Status, header: a.Header, body: a.Body, pending: pending}
	}
	return result{refused: failed(limited, outcome.Unknown).after(0), pending: pending}
}
