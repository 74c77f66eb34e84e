package serviceproxy

import (
	"context"
	"net/http"

	"github.com/sesamemux/sesamemux/pkg/edge/ask"
	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// sendOnceOnly sends a call whose intent is recorded, and records the outcome. Its second
// result is true if the call did not run and another host may be tried.
func (p *Proxy) sendOnceOnly(ctx context.Context, c *call, i once.Intent, target hostPermit) (result, bool) {
	p.recordEvent(EventSend, c, target.host.Name, "")
	limited, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	answer, err := p.transport.DoOnce(limited, c.attemptRequest(i, target), p.preSendCheck(target), p.config.MaxAnswerBytes)
	target.release(p.permitEnd(target.host, err))
	o := p.outcomeOf(answer, err)
	p.recordEvent(EventEnd, c, target.host.Name, o)
	p.log.Info("once-only call ended", "request", c.id, "organisation", c.organisation, "service", c.name,
		"host", target.host.Name, "outcome", o, "err", err)
	switch {
	case o == outcome.Ran:
		return p.recordRan(ctx, i, answer), false
	case o == outcome.NotRun:
		return p.recordNotRun(ctx, i, err)
	case p.config.Unsafe.ResendUnknown:
		return p.sendOnceOnly(ctx, c, i, target)
	}
	return p.handleUnknown(ctx, c, i, answer, limited), false
}

// attemptRequest returns the request with its attempt ID, by which the outcome can be
// queried from the service.
func (c *call) attemptRequest(i once.Intent, target hostPermit) *plaincall.Request {
	r := c.request(target.host)
	r.Header = c.header.Clone()
	r.Header.Set(ask.HeaderAttempt, i.Attempt)
	return r
}

// outcomeOf returns the outcome of a call.
func (p *Proxy) outcomeOf(a *plaincall.Response, err error) outcome.Outcome {
	if err != nil {
		return callOutcome(err)
	}
	o := plaincall.StatusOutcome(a.Status)
	if o == outcome.Unknown && p.config.Unsafe.TrustStatus {
		return outcome.NotRun
	}
	return o
}

// recordRan records an answer and returns it.
func (p *Proxy) recordRan(ctx context.Context, i once.Intent, a *plaincall.Response) result {
	r := result{outcome: outcome.Ran, status: a.Status, header: a.Header, body: a.Body}
	r.recordPending = !p.recordConclusion(ctx, newConclusion(i, outcome.Ran, newRecordAnswer(a.Status, a.Header, a.Body, a.Size)))
	if !a.Complete() {
		r.refused = refuseWith(http.StatusBadGateway, outcome.Ran, outcome.ReasonAnswerNotKept, "the call ran; its answer is too large to relay")
	}
	return r
}

// recordNotRun records that a call was not sent. Another host may be tried only once that
// is recorded.
func (p *Proxy) recordNotRun(ctx context.Context, i once.Intent, err error) (result, bool) {
	again := p.recordConclusion(ctx, newConclusion(i, outcome.NotRun, nil))
	p.log.Warn("once-only call not sent", "attempt", i.Attempt, "host", i.Host, "err", err)
	r := refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonUpstreamFailed, "the host could not be reached").withRetryAfter(shortRetryAfter)
	if !p.config.Lease.Valid() {
		r = refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonNoLease, "this gate has no valid lease and accepts no new work").withRetryAfter(shortRetryAfter)
		again = false
	}
	return result{refused: r}, again
}

// handleUnknown queries the service for the outcome of a call and records the reply. It
// returns the outcome as far as it is known.
func (p *Proxy) handleUnknown(ctx context.Context, c *call, i once.Intent, a *plaincall.Response, limited context.Context) result {
	if res, ok := p.resolveOwnAttempt(ctx, c, i); ok {
		return res
	}
	pending := !p.recordConclusion(ctx, newConclusion(i, outcome.Unknown, nil))
	if a != nil && a.Complete() {
		return result{outcome: outcome.Unknown, status: a.Status, header: a.Header, body: a.Body, recordPending: pending}
	}
	return result{refused: refuseFailed(limited, outcome.Unknown).withRetryAfter(0), recordPending: pending}
}
