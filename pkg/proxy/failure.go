package proxy

import (
	"context"
	"errors"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// outcomeOf tells what an error leaves known of an attempt.
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

// failedEngine finds out what a failed attempt means for its permit and its
// target.
func (p *Proxy) failedEngine(ctx context.Context, q *queue, c *call, g grant, err error) result {
	res := result{outcome: p.outcomeOf(err), err: err}
	var refused *refusedError
	var before *upstream.BeforeSendError
	switch {
	case errors.As(err, &before):
		q.giveBack(g.permit, permit.EndNotProven)
		return p.refusedBefore(res, before)
	case errors.Is(err, upstream.ErrIncarnationMismatch):
		p.crashed(g.place)
		c.exclude(g.place.target)
		q.giveBack(g.permit, permit.EndNotProven)
	case errors.Is(err, upstream.ErrUnreachable):
		p.config.Permits.Suspect(g.place.target, g.place.head.Incarnation)
		c.exclude(g.place.target)
		p.targets.avoid(g.place.head)
		q.giveBack(g.permit, permit.EndNotProven)
		p.unreachable(g.place, err)
	case errors.As(err, &refused) && refused.refusal.Outcome == outcome.NotRun:
		c.exclude(g.place.target)
		q.giveBack(g.permit, permit.EndNotProven)
	case ctx.Err() != nil || errors.Is(err, errCallerGone):
		p.settleLater(q, g, infer.Cancel{Request: c.id, Attempt: c.attempt})
	default:
		p.settle(q, c, g, err)
	}
	return res
}

// refusedBefore says how to go on after the check before the first byte.
func (p *Proxy) refusedBefore(res result, e *upstream.BeforeSendError) result {
	if errors.Is(e.Cause, errNoLease) {
		res.final = refuseNoLease()
		return res
	}
	res.free = true
	return res
}
