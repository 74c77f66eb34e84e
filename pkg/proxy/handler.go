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

// handle serves one request, of a caller or of a peer.
func (p *Proxy) handle(c echo.Context, peer bool) error {
	p.active.Add(1)
	defer p.active.Add(-1)
	w := c.Response().Writer
	w.Header().Set(infer.HeaderGate, string(p.config.Gate.Name))
	if p.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if p.closing.Load() {
		return p.end(&wholeSink{writer: w}, nil, refuseShutdown())
	}
	if !p.config.Lease.Valid() {
		return p.end(&wholeSink{writer: w}, nil, refuseNoLease())
	}
	in, r := p.parse(c.Request(), peer)
	if r != nil {
		return p.end(&wholeSink{writer: w}, nil, r)
	}
	w.Header().Set(infer.HeaderRequestID, in.callerID)
	var s sink = &wholeSink{writer: w}
	if in.streaming {
		s = newStreamSink(w, in, p.options.CallerStallTimeout)
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), in.deadline)
	defer cancel()
	p.budget.Begin()
	defer func() { p.budget.End(in.retries) }()
	return p.end(s, in, p.serve(ctx, in, s))
}

// end gives the final answer, if it is a refusal, and counts it.
func (p *Proxy) end(s sink, c *call, r *refusal) error {
	if r == nil {
		p.metrics.ended("whole", time.Since(c.arrived))
		p.config.Recorder.Record(eventFinished, "request", c.trace, "tokens", c.tracker.Offset(), "attempts", c.attempt)
		return nil
	}
	p.metrics.refused(string(r.Reason), string(r.Outcome))
	id := ""
	if c != nil {
		id = c.trace
	}
	p.log.Info("request refused", "request", id, "reason", r.Reason, "outcome", r.Outcome, "message", r.Message)
	p.config.Recorder.Record(eventRefused, "request", id, "reason", r.Reason, "outcome", r.Outcome)
	if r.Reason == outcome.ReasonCallerGone {
		return nil
	}
	if err := s.fail(r.status, r.Refusal); err != nil {
		p.log.Debug("refusal could not be written", "request", id, "err", err)
	}
	return nil
}

// judge asks the suspects. It returns a refusal for a request that may not
// run here now.
func (p *Proxy) judge(c *call) *refusal {
	if p.config.Suspects == nil {
		return nil
	}
	v := p.config.Suspects.Check(time.Now(), c.fingerprint)
	c.isolated, c.trialGate = false, ""
	switch v.Kind {
	case suspect.Trial:
		c.isolated = true
	case suspect.Elsewhere:
		if c.hop != "" || v.Gate == "" {
			return refuse(http.StatusServiceUnavailable, outcome.ReasonSuspect, "the request is on trial").after(v.RetryAfter)
		}
		c.trialGate = v.Gate
	case suspect.Waiting:
		return refuse(http.StatusServiceUnavailable, outcome.ReasonSuspect, "the request is on trial").after(v.RetryAfter)
	case suspect.Refused:
		return refuse(http.StatusUnprocessableEntity, outcome.ReasonQuarantined, "the request crashed upstreams").after(v.RetryAfter)
	case suspect.Free:
	}
	return nil
}
