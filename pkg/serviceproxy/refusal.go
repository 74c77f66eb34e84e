package serviceproxy

import (
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Advice on when to come back.
const (
	retrySoon  = time.Second
	retryLater = 5 * time.Second
)

// refusal is a refusal with its HTTP status.
type refusal struct {
	status int
	outcome.Refusal
}

func refuseWith(status int, o outcome.Outcome, reason outcome.Reason, message string) *refusal {
	return &refusal{status: status, Refusal: outcome.Refusal{Outcome: o, Reason: reason, Message: message}}
}

// notRun refuses a call that no upstream saw.
func notRun(status int, reason outcome.Reason, message string) *refusal {
	return refuseWith(status, outcome.NotRun, reason, message)
}

// after adds advice on when to come back.
func (r *refusal) after(d time.Duration) *refusal {
	r.RetryAfter = d
	return r
}

// refuse answers a call with a refusal.
func (p *Proxy) refuse(w http.ResponseWriter, c *call, r *refusal) {
	p.metrics.end(c, r.Outcome)
	p.timeline.Record(Event{Kind: EventRefuse, Request: c.id, Organisation: c.organisation, Service: c.name, Outcome: r.Outcome})
	p.log.Info("call refused", "request", c.id, "organisation", c.organisation, "service", c.name,
		"outcome", r.Outcome, "reason", r.Reason, "status", r.status)
	if err := outcome.Write(w, r.status, r.Refusal); err != nil {
		p.log.Debug("refusal not delivered", "request", c.id, "err", err)
	}
}
