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

// maxHosts limits the hosts on which one call is tried.
const maxHosts = 3

// serveOrdinary routes a call that is not once-only.
func (p *Proxy) serveOrdinary(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout())
	defer cancel()
	var tried []view.HostName
	overall := outcome.NotRun
	for {
		target, ok, anyHost := p.acquireHost(c.name, tried)
		if !ok {
			p.refuse(w, c, refuseNoHost(anyHost || len(tried) > 0, overall))
			return
		}
		tried = append(tried, target.host.Name)
		o, done := p.tryHost(ctx, w, c, target, len(tried) == maxHosts)
		overall = outcome.Combine(overall, o)
		if done {
			return
		}
		if len(tried) == maxHosts || ctx.Err() != nil || o != outcome.NotRun && !c.idempotent() {
			p.refuse(w, c, refuseFailed(ctx, overall))
			return
		}
	}
}

// tryHost sends a call to one host. Its second result is true if the caller was answered.
// An answer of unknown outcome, such as 503, to an idempotent call is relayed only on the
// last try.
func (p *Proxy) tryHost(ctx context.Context, w http.ResponseWriter, c *call, target hostPermit, last bool) (outcome.Outcome, bool) {
	p.recordEvent(EventSend, c, target.host.Name, "")
	resp, err := p.transport.Do(ctx, c.request(target.host), p.preSendCheck(target))
	defer func() { target.release(p.permitEnd(target.host, err)) }()
	if err != nil {
		o := callOutcome(err)
		p.recordEvent(EventEnd, c, target.host.Name, o)
		p.log.Warn("call failed", "request", c.id, "service", c.name, "host", target.host.Name, "outcome", o, "err", err)
		return o, false
	}
	defer resp.Body.Close()
	o := plaincall.StatusOutcome(resp.StatusCode)
	p.recordEvent(EventEnd, c, target.host.Name, o)
	if o == outcome.Unknown && c.idempotent() && !last {
		return o, false
	}
	p.metrics.end(c, o)
	relayStream(w, resp, o)
	return o, true
}

// preSendCheck returns the check to run immediately before the first byte is sent to a
// host.
func (p *Proxy) preSendCheck(target hostPermit) func() error {
	return func() error {
		if p.config.Unsafe.NoPreSendCheck {
			return nil
		}
		if !p.config.Lease.Valid() {
			return errNoLease
		}
		if !p.stillAcceptsWork(target.host) {
			return errHostUnavailable
		}
		if !target.start() {
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

// refuseNoHost refuses a call for which no host could be acquired. hosts reports whether the
// service has any host that accepts work.
func refuseNoHost(hosts bool, overall outcome.Outcome) *refusal {
	if hosts {
		return refuseWith(http.StatusServiceUnavailable, overall, outcome.ReasonOverloaded, "no host of the service has capacity for the call").withRetryAfter(shortRetryAfter)
	}
	return refuseWith(http.StatusServiceUnavailable, overall, outcome.ReasonNoUpstream, "no host of the service accepts work").withRetryAfter(longRetryAfter)
}

// refuseFailed refuses a call after its last try has failed.
func refuseFailed(ctx context.Context, overall outcome.Outcome) *refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuseWith(http.StatusGatewayTimeout, overall, outcome.ReasonUpstreamTimeout, "the service did not answer in time")
	}
	return refuseWith(http.StatusBadGateway, overall, outcome.ReasonUpstreamFailed, "the service failed").withRetryAfter(shortRetryAfter)
}

func (p *Proxy) recordEvent(k EventKind, c *call, h view.HostName, o outcome.Outcome) {
	p.timeline.Record(Event{Kind: k, Request: c.id, Organisation: c.organisation, Service: c.name, Host: h, Outcome: o})
}
