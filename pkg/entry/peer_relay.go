package entry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// relaySilence is how long an entry host that relays may send nothing until a repeatable request is
// passed on to another one. It replaces silent upstreams itself before that.
const relaySilence = 1500 * time.Millisecond

// errDeclined is returned if an entry host did not take a request. It did not run.
var errDeclined = eris.Wrap(errNotRun, "entry host declined to relay")

// peerRelay passes one request on to other entry hosts, one after the other and to each at most once.
type peerRelay struct {
	call *call
	// forward passes an answer on to the client. It waits for its bytes under the watch.
	forward func(resp *upstream.Response, w *silenceWatch) error
	// lastEventID returns the last event that the client has received.
	lastEventID func() string
	// end answers the client when nothing more is tried.
	end func(why reason)
}

// serve passes the request on until an entry host has served it, or it has ended otherwise. It returns
// false if no further entry host takes it.
func (p *peerRelay) serve() bool {
	c, g := p.call, p.call.gateway
	for {
		address := g.relays.choose(g.now(), c.asked)
		if address == "" {
			return false
		}
		if c.sent == c.sentBeforeTrial {
			c.endTrial(true) // the other entry host asks for a trial of its own
		}
		c.asked[address] = true
		c.relay = address
		err := p.attempt(address)
		g.relays.release(address)
		g.metrics.Relays.WithLabelValues("sent", relayResult(err)).Inc()
		if err == nil || p.failed(address, err) {
			return true
		}
	}
}

// attempt passes the request on to one entry host and its answer to the client.
func (p *peerRelay) attempt(address string) error {
	c := p.call
	ctx, cancel := context.WithTimeout(c.ctx, c.remaining())
	defer cancel()
	w := newSilenceWatch(p.silenceLimit(), cancel)
	w.begin()
	resp, err := c.exchangeWithPeer(ctx, address, p.lastEventID())
	w.end()
	if err == nil {
		defer resp.Close()
		err = p.forward(resp, w)
	}
	if err != nil && w.fired.Load() {
		return eris.Wrapf(upstream.ErrStalled, "entry host sent nothing for %v", relaySilence)
	}
	return err
}

// silenceLimit returns after which silence the request is passed on to another entry host, or 0 if it
// must not be.
func (p *peerRelay) silenceLimit() time.Duration {
	c := p.call
	if c.route.Retryable() && c.possibleExecutions+1 < c.route.MaxAttempts && c.gateway.relays.hasOther(c.asked) {
		return relaySilence
	}
	return 0
}

// failed records that an entry host did not serve the request. It returns true if that ends the request.
func (p *peerRelay) failed(address string, err error) bool {
	c, g := p.call, p.call.gateway
	c.recordFailedAttempt(err)
	if c.clientGone() {
		c.outcome = clientLeft
		return true
	}
	g.relays.recordFailure(g.now(), address)
	if g.requestLog.allow(g.now(), false) {
		g.cfg.Logger.Info("entry host did not relay a request", "request", c.r.Header.Get(g.cfg.Headers.Attempt), "relay", address, "executions", c.possibleExecutions, "cause", err)
	}
	switch {
	case c.ctx.Err() != nil:
		p.end(processStops)
		return true
	case provesNotRun(err) && c.remaining() >= minRetryTime:
		return false
	case !c.mayRepeat(err):
		p.end(c.reason)
		return true
	}
	if c.headerSent {
		c.resumed++
	}
	return false
}

// relayResult returns the metric label of an attempt.
func relayResult(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, errDeclined):
		return "declined"
	case provesNotRun(err):
		return "not sent"
	}
	return "broken"
}

// exchangeWithPeer passes the request on to another entry host and returns its answer with an unread
// body.
func (c *call) exchangeWithPeer(ctx context.Context, address, lastEventID string) (*upstream.Response, error) {
	g := c.gateway
	origin, err := json.Marshal(control.RelayedRequest{
		Process: g.cfg.Name, DocumentVersion: c.index.Set.Version, Service: c.service.Name,
		Executions: c.possibleExecutions, Tried: slices.Sorted(maps.Keys(c.tried)), Counted: c.counted,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode relayed request")
	}
	h := c.forwardedHeader(lastEventID)
	h.Set(relayHeader, string(origin))
	resp, err := g.relayPool.Do(ctx, &upstream.Request{
		Address: address, Host: c.r.Host, Method: c.r.Method, Path: c.r.RequestURI, Header: h, Body: c.body,
		NewConnection: c.route.Kind == catalog.AtMostOnce,
	})
	if !errors.Is(err, upstream.ErrNotSent) {
		c.sent++
	}
	if err != nil {
		return nil, err
	}
	c.framed = false // the entry host that relays reports what the run proves
	g.noteRelayedAnswer(resp.Header)
	if why := resp.Header.Get(relayDeclinedHeader); why != "" {
		c.discard(resp)
		return nil, eris.Wrap(errDeclined, why)
	}
	err = c.checkBelongs(resp)
	switch {
	case err != nil:
	case !resp.Framed:
		err = eris.Wrap(errMismatchedAnswer, "relayed answer does not mark its end")
	case resp.Status < http.StatusMultipleChoices && resp.Header.Get(g.cfg.Headers.Signature) == "":
		err = errUnsigned
	}
	if err != nil {
		resp.Close()
		return nil, err
	}
	return resp, nil
}
