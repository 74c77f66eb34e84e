package serviceproxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/ask"
	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	queryTimeout    = 2 * time.Second
	queryAttempts   = 3
	queryRetryDelay = 200 * time.Millisecond
)

// resolveOwnAttempt queries the outcome of this gate's own attempt and records it. It
// returns false if the service doesn't know the outcome.
func (p *Proxy) resolveOwnAttempt(ctx context.Context, c *call, i once.Intent) (result, bool) {
	reply, ok := p.queryOutcome(ctx, c, i)
	if !ok {
		return result{}, false
	}
	if reply.Outcome == outcome.NotRun {
		pending := !p.recordConclusion(ctx, newConclusion(i, outcome.NotRun, nil))
		return result{recordPending: pending, refused: refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonUpstreamFailed, "the service failed and reports that the call did not run").withRetryAfter(shortRetryAfter)}, true
	}
	a := p.replyAnswer(reply)
	r := replayResult(a)
	r.replayed = false
	r.recordPending = !p.recordConclusion(ctx, newConclusion(i, outcome.Ran, a))
	return r, true
}

// resolveUnknown queries the outcome of the attempt behind a record of unknown outcome and
// records it. It replies with the outcome, as far as it is known.
func (p *Proxy) resolveUnknown(ctx context.Context, c *call, i once.Intent, d once.Decision) result {
	unknown := result{refused: refuseWith(http.StatusConflict, outcome.Unknown, outcome.ReasonNotRepeated, "it may have run; it is not repeated")}
	i.Attempt, i.Host = d.Attempt, d.Host
	reply, ok := p.queryOutcome(ctx, c, i)
	if !ok {
		return unknown
	}
	resolved := newConclusion(i, reply.Outcome, nil)
	resolved.Queried = true
	if reply.Outcome == outcome.NotRun {
		pending := !p.recordConclusion(ctx, resolved)
		return result{recordPending: pending, refused: refuseNotRun(http.StatusServiceUnavailable, outcome.ReasonUpstreamFailed, "the service reports that the call did not run").withRetryAfter(shortRetryAfter)}
	}
	resolved.Answer = p.replyAnswer(reply)
	r := replayResult(resolved.Answer)
	r.recordPending = !p.recordConclusion(ctx, resolved)
	return r
}

// queryOutcome queries a service for the outcome of an attempt, if the service has an
// outcome path. Any host may report that the attempt ran. Only the host that the call was
// sent to may report that it did not run, and only if it will refuse it from now on.
func (p *Proxy) queryOutcome(ctx context.Context, c *call, i once.Intent) (ask.Reply, bool) {
	if c.service.OutcomePath == "" {
		return ask.Reply{}, false
	}
	for try := range queryAttempts {
		if try > 0 {
			p.sleep(ctx, queryRetryDelay)
		}
		for _, h := range p.hostsToQuery(c.name, i.Host) {
			reply, err := p.queryHost(ctx, c, i, h)
			if err != nil {
				p.log.Debug("outcome query failed", "request", c.id, "host", h.Name, "err", err)
				continue
			}
			p.recordEvent(EventAsk, c, h.Name, reply.Outcome)
			p.metrics.outcomeQueries.WithLabelValues(c.service.Name, string(reply.Outcome)).Inc()
			if reply.Outcome == outcome.Ran || reply.Outcome == outcome.NotRun && reply.Final && h.Name == i.Host {
				return reply, true
			}
		}
	}
	return ask.Reply{}, false
}

// hostsToQuery returns the hosts that may know the outcome: first the one that the call was
// sent to, even if it accepts no new work.
func (p *Proxy) hostsToQuery(service string, host view.HostName) []view.Host {
	var hosts []view.Host
	if h, ok := p.config.View().Hosts.Get(host); ok && h.Service == service {
		hosts = append(hosts, h)
	}
	for _, h := range p.hosts(service) {
		if h.Name != host {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (p *Proxy) queryHost(ctx context.Context, c *call, i once.Intent, h view.Host) (ask.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	path, raw := ask.Path(c.service.OutcomePath, i.Key)
	resp, err := p.transport.Do(ctx, &plaincall.Request{
		Address: h.Address,
		Method:  http.MethodGet,
		Path:    path,
		RawPath: raw,
		Header: http.Header{
			ask.HeaderOrganisation: {c.organisation},
			ask.HeaderAttempt:      {i.Attempt},
		},
	}, func() error { return nil })
	if err != nil {
		return ask.Reply{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ask.Reply{}, eris.Wrapf(errInvalidOutcomeReply, "status %d", resp.StatusCode)
	}
	var reply ask.Reply
	if err := json.NewDecoder(io.LimitReader(resp.Body, p.config.MaxAnswerBytes)).Decode(&reply); err != nil {
		return ask.Reply{}, eris.Wrap(errInvalidOutcomeReply, err.Error())
	}
	if !reply.Outcome.Valid() {
		return ask.Reply{}, eris.Wrapf(errInvalidOutcomeReply, "outcome %q", reply.Outcome)
	}
	return reply, nil
}

// replyAnswer returns the answer contained in a service's reply, in recorded form.
func (p *Proxy) replyAnswer(r ask.Reply) *once.Answer {
	status := r.Status
	if status == 0 {
		status = http.StatusOK
	}
	h := make(http.Header)
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	return newRecordAnswer(status, h, r.Body, int64(len(r.Body)))
}
