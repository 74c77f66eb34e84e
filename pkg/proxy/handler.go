package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/suspect"
)

// handle serves one request of a caller or a peer.
func (p *Proxy) handle(c echo.Context, peer bool) error {
	p.active.Add(1)
	defer p.active.Add(-1)
	w := c.Response().Writer
	w.Header().Set(infer.HeaderGate, string(p.config.Gate.Name))
	if p.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if p.closing.Load() {
		return p.finish(&bufferedSink{writer: w}, nil, refuseShutdown())
	}
	if !p.config.Lease.Valid() {
		return p.finish(&bufferedSink{writer: w}, nil, refuseNoLease())
	}
	in, r := p.parse(c.Request(), peer)
	if r != nil {
		return p.finish(&bufferedSink{writer: w}, nil, r)
	}
	w.Header().Set(infer.HeaderRequestID, in.callerID)
	var s sink = &bufferedSink{writer: w}
	if in.streaming {
		s = newStreamSink(w, in, p.options.CallerStallTimeout)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), in.deadline)
	defer cancel()
	p.budget.Begin()
	defer func() { p.budget.End(in.retries) }()
	return p.finish(s, in, p.serve(ctx, in, s))
}

// finish records the end of a call and, if r is not nil, sends the refusal. c is nil if
// the request could not be parsed.
func (p *Proxy) finish(s sink, c *call, r *refusal) error {
	if r == nil {
		p.metrics.ended("whole", time.Since(c.arrived))
		p.config.Recorder.Record(eventFinished, "request", c.traceID, "tokens", c.tracker.Offset(), "attempts", c.attempt)
		return nil
	}
	p.metrics.refused(string(r.Reason), string(r.Outcome))
	id := ""
	if c != nil {
		id = c.traceID
	}
	p.log.Info("request refused", "request", id, "reason", r.Reason, "outcome", r.Outcome, "message", r.Message)
	p.config.Recorder.Record(eventRefused, "request", id, "reason", r.Reason, "outcome", r.Outcome)
	if r.Reason == outcome.ReasonCallerGone {
		return nil
	}
	if err := s.fail(r.status, r.Refusal); err != nil {
		p.log.Debug("failed to write refusal", "request", id, "err", err)
	}
	return nil
}

// checkSuspects returns a refusal if the call matches a suspect request that may not run
// here now, and marks the call if it is the trial of a suspect.
func (p *Proxy) checkSuspects(c *call) *refusal {
	if p.config.Suspects == nil {
		return nil
	}
	v := p.config.Suspects.Check(time.Now(), c.fingerprint)
	c.onTrial, c.trialGate = false, ""
	switch v.Kind {
	case suspect.StartTrial:
		c.onTrial = true
	case suspect.TrialElsewhere:
		if c.handedOverBy != "" || v.Gate == "" {
			return refuse(http.StatusServiceUnavailable, outcome.ReasonSuspect, "the request is suspected of crashing upstreams and its trial has not ended").withRetryAfter(v.RetryAfter)
		}
		c.trialGate = v.Gate
	case suspect.TrialPending:
		return refuse(http.StatusServiceUnavailable, outcome.ReasonSuspect, "the request is suspected of crashing upstreams and its trial has not ended").withRetryAfter(v.RetryAfter)
	case suspect.Refused:
		return refuse(http.StatusUnprocessableEntity, outcome.ReasonQuarantined, "the request is quarantined because it crashed upstreams").withRetryAfter(v.RetryAfter)
	case suspect.Unrestricted:
	}
	return nil
}
