package entry

import (
	"net/http"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// serveByPeer lets other entry hosts serve the buffered request. It returns false if none takes it.
func (r *bufferedAttempts) serveByPeer() bool {
	c := r.call
	p := &peerRelay{
		call: c, forward: c.forwardWhole,
		lastEventID: func() string { return "" },
		end:         func(why reason) { c.endBuffered(why, r.failure) },
	}
	return p.serve()
}

// forwardWhole reads the answer of another entry host up to maxBufferedAnswer and forwards it with the
// rest.
func (c *call) forwardWhole(resp *upstream.Response, w *silenceWatch) error {
	a := &upstreamAnswer{status: resp.Status, header: resp.Header, rest: resp, stop: func() {}}
	w.begin()
	err := a.readAhead()
	w.end()
	if err != nil {
		return err
	}
	c.outcome = outcomeOf(resp.Status, resp.Header.Get(c.gateway.cfg.Headers.Signature) != "")
	if _, err := c.writeAnswer(a); err != nil {
		c.recordFailedAttempt(err)
		c.outcome = cutShort
	}
	return nil
}

// outcomeOf returns the outcome of a request that another entry host answered.
func outcomeOf(status int, signed bool) outcome {
	switch {
	case status < http.StatusBadRequest:
		return served
	case signed:
		return upstreamFailed
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
		return outcomeUnknown
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return refused
	}
	return rejected
}
