package serviceproxy

import (
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Values of RetryAfter in refusals.
const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

// refusal is a refused call's response with its HTTP status.
type refusal struct {
	status int
	outcome.Refusal
}

func refuseWith(status int, o outcome.Outcome, reason outcome.Reason, message string) *refusal {
	return &refusal{status: status, Refusal: outcome.Refusal{Outcome: o, Reason: reason, Message: message}}
}

// refuseNotRun returns the refusal of a call that did not run.
func refuseNotRun(status int, reason outcome.Reason, message string) *refusal {
	return refuseWith(status, outcome.NotRun, reason, message)
}

// withRetryAfter sets the time after which the caller may retry.
func (r *refusal) withRetryAfter(d time.Duration) *refusal {
	r.RetryAfter = d
	return r
}

// refuse sends a refusal to the caller and records it.
func (p *Proxy) refuse(w http.ResponseWriter, c *call, r *refusal) {
	p.metrics.end(c, r.Outcome)
	p.timeline.Record(Event{Kind: EventRefuse, Request: c.id, Organisation: c.organisation, Service: c.name, Outcome: r.Outcome})
	p.log.Info("call refused", "request", c.id, "organisation", c.organisation, "service", c.name,
		"outcome", r.Outcome, "reason", r.Reason, "status", r.status)
	if err := outcome.Write(w, r.status, r.Refusal); err != nil {
		p.log.Debug("failed to deliver refusal to caller", "request", c.id, "err", err)
	}
}
