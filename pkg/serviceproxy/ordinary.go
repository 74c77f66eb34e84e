package serviceproxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxHosts bounds the hosts that one call is tried on.
const maxHosts = 3

// serveOrdinary routes a call that is not once-only.
func (p *Proxy) serveOrdinary(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout())
	defer cancel()
	var tried []view.HostName
	told := outcome.NotRun
	for {
		at, ok, any := p.choose(c.name, tried)
		if !ok {
			p.refuse(w, c, noPlace(any || len(tried) > 0, told))
			return
		}
		tried = append(tried, at.host.Name)
		o, done := p.tryOrdinary(ctx, w, c, at, len(tried) == maxHosts)
		told = outcome.Combine(told, o)
		if done {
			return
		}
		if len(tried) == maxHosts || ctx.Err() != nil || o != outcome.NotRun && !c.idempotent() {
			p.refuse(w, c, failed(ctx, told))
			return
		}
	}
}

// tryOrdinary sends a call to one host. It returns done if the caller was
// answered; a busy answer to an idempotent call is relayed only if it is the
// last.
func (p *Proxy) tryOrdinary(ctx context.Context, w http.ResponseWriter, c *call, at place, last bool) (outcome.Outcome, bool) {
	p.event(EventSend, c, at.host.Name, "")
	resp, err := p.transport.Do(ctx, c.request(at.host), p.lastCheck(at))
	defer func() { at.release(p.permitEnd(at.host, err)) }()
	if err != nil {
		o := callOutcome(err)
		p.event(EventEnd, c, at.host.Name, o)
		p.log.Warn("call failed", "request", c.id, "service", c.name, "host", at.host.Name, "outcome", o, "err", err)
		return o, false
	}
	defer resp.Body.Close()
	o := plaincall.StatusOutcome(resp.StatusCode)
	p.event(EventEnd, c, at.host.Name, o)
	if o == outcome.Unknown && c.idempotent() && !last {
		return o, false
	}
	p.metrics.end(c, o)
	relayStream(w, resp, o)
	return o, true
}

// lastCheck returns the check right before the first byte to a host.
func (p *Proxy) lastCheck(at place) func() error {
	return func() error {
		if p.config.Unsafe.NoPreSendCheck {
			return nil
		}
		if !p.config.Lease.Valid() {
			return errNoLease
		}
		if !p.stillThere(at.host) {
			return errHostGone
		}
		if !at.start() {
			return errNoPermit
		}
		return nil
	}
}

func (c *call) timeout() time.Duration {
	if c.service.Timeout > 0 {
		return c.service.Timeout
	}
	return defaultCallTimeout
}

func callOutcome(err error) outcome.Outcome {
	var failed *plaincall.CallError
	if errors.As(err, &failed) {
		return failed.Outcome
	}
	return outcome.Unknown
}

// noPlace refuses a call for which no host has room.
func noPlace(hosts bool, told outcome.Outcome) *refusal {
	if hosts {
		return refuseWith(http.StatusServiceUnavailable, told, outcome.ReasonOverloaded, "no host of the service has room").after(retrySoon)
	}
	return refuseWith(http.StatusServiceUnavailable, told, outcome.ReasonNoUpstream, "no host of the service takes work").after(retryLater)
}

// failed gives up a call after its last try.
func failed(ctx context.Context, told outcome.Outcome) *refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuseWith(http.StatusGatewayTimeout, told, outcome.ReasonUpstreamTimeout, "the service gave no answer in time")
	}
	return refuseWith(http.StatusBadGateway, told, outcome.ReasonUpstreamFailed, "the service broke off").after(retrySoon)
}

func (p *Proxy) event(k EventKind, c *call, h view.HostName, o outcome.Outcome) {
	p.timeline.Record(Event{Kind: k, Request: c.id, Organisation: c.organisation, Service: c.name, Host: h, Outcome: o})
}
