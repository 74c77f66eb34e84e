package proxy

import (
	"context"
	"errors"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// outcomeOf returns the outcome of an attempt that failed with err.
func (p *Proxy) outcomeOf(err error) outcome.Outcome {
	if p.options.Unsafe.ReportNotRun {
		return outcome.NotRun
	}
	var refused *refusedError
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return outcome.NotRun
	case errors.As(err, &refused):
		return refused.refusal.Outcome
	default:
		return outcome.Unknown
	}
}

// handleEngineFailure releases or holds the permit of a failed attempt, and excludes or
// suspects its target, depending on the error.
func (p *Proxy) handleEngineFailure(ctx context.Context, q *queue, c *call, g grant, err error) result {
	res := result{outcome: p.outcomeOf(err), err: err}
	var refused *refusedError
	var before *upstream.BeforeSendError
	switch {
	case errors.As(err, &before):
		q.releasePermit(g.permit, permit.EndInconclusive)
		return p.handleBeforeSendError(res, before)
	case errors.Is(err, upstream.ErrIncarnationMismatch):
		p.reportCrash(g.dest)
		c.excludeTarget(g.dest.target)
		q.releasePermit(g.permit, permit.EndInconclusive)
	case errors.Is(err, upstream.ErrUnreachable):
		p.config.Permits.Suspect(g.dest.target, g.dest.head.Incarnation)
		c.excludeTarget(g.dest.target)
		p.targets.markUnreachable(g.dest.head)
		q.releasePermit(g.permit, permit.EndInconclusive)
		p.checkForCrash(g.dest, err)
	case errors.As(err, &refused) && refused.refusal.Outcome == outcome.NotRun:
		c.excludeTarget(g.dest.target)
		q.releasePermit(g.permit, permit.EndInconclusive)
	case ctx.Err() != nil || errors.Is(err, errCallerGone):
		p.cancelInBackground(q, g, infer.Cancel{Request: c.id, Attempt: c.attempt})
	default:
		p.cancelOrHoldPermit(q, c, g, err)
	}
	return res
}

// handleBeforeSendError returns the result of an attempt that failed the check before the
// first byte. Unless the lease is lost, the call is queued again.
func (p *Proxy) handleBeforeSendError(res result, e *upstream.BeforeSendError) result {
	if errors.Is(e.Cause, errNoLease) {
		res.final = refuseNoLease()
		return res
	}
	res.notCharged = true
	return res
}
