package entry

import (
	"bytes"
	"context"
	"io"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// streamAttempt is one attempt to serve a stream at an upstream.
type streamAttempt struct {
	call        *call
	placement   *placement
	lastEventID string // the upstream continues after this event
	ctx         context.Context
	cancel      context.CancelFunc
	resp        *upstream.Response // nil if there is none
	first       []byte             // bytes of the body that were read ahead
	err         error              // of sending the request
}

// newStreamAttempt returns an attempt without a placement. It lasts until the client leaves or the
// deadline of the request.
func newStreamAttempt(c *call, lastEventID string) *streamAttempt {
	ctx, cancel := context.WithTimeout(c.ctx, c.remaining())
	return &streamAttempt{call: c, lastEventID: lastEventID, ctx: ctx, cancel: cancel}
}

// send sends the request to the upstream.
func (a *streamAttempt) send() {
	a.resp, a.err = a.call.exchange(a.ctx, &a.placement.upstream, a.lastEventID)
}

// signed reports whether the answer carries the signature of an upstream.
func (a *streamAttempt) signed() bool {
	return a.resp.Header.Get(a.call.gateway.cfg.Headers.Signature) != ""
}

// body returns the body of the answer from its beginning.
func (a *streamAttempt) body() io.Reader {
	if len(a.first) == 0 {
		return a.resp.Body
	}
	return io.MultiReader(bytes.NewReader(a.first), a.resp.Body)
}

// close ends the attempt.
func (a *streamAttempt) close() {
	if a.resp != nil {
		a.resp.Close()
	}
	a.cancel()
}
