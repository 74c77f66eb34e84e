package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// standbyTimeout is how long a standby may send no event until its upstream counts as silent.
const standbyTimeout = 1200 * time.Millisecond

// standby is an attempt at another upstream beside a silent one. Its fields are read only after
// done is closed, but for dropped, counted, late and placement, which the stall timer guards.
type standby struct {
	streamAttempt
	done    chan struct{} // closed when the upstream sent the first event, or there will be none
	dropped bool          // not needed any more
	counted bool          // it was taken from the retry budget and may have run
	late    bool          // given up because it sent nothing
}

// run sends the request to another upstream and waits for its first event. The placement stays nil
// if no upstream takes the request.
func (sb *standby) run(w *stallTimer, req placementRequest) {
	g := sb.call.gateway
	p, why, _ := g.place(sb.ctx, req, sb.call.remaining())
	if p == nil {
		sb.err = eris.New(string(why))
		return
	}
	if !w.admit(sb, p) {
		g.release(p)
		sb.err = eris.New(string(retryBudgetSpent))
		return
	}
	timer := time.AfterFunc(standbyTimeout, func() { w.standbyIsSilent(sb) })
	defer timer.Stop()
	sb.send()
	if sb.err == nil && sb.usable() {
		sb.readFirst()
	}
}

// usable reports whether the answer is a stream.
func (sb *standby) usable() bool {
	return sb.resp != nil && sb.resp.Status == http.StatusOK && sb.signed()
}

// failure returns why the upstream did not serve the stream.
func (sb *standby) failure() error {
	switch {
	case sb.late:
		return eris.Wrapf(upstream.ErrStalled, "nothing within %v", standbyTimeout)
	case sb.err != nil:
		return sb.err
	case sb.resp.Status != http.StatusOK:
		return eris.Errorf("upstream answered %d", sb.resp.Status)
	}
	return errUnsigned
}

// readFirst waits for the first whole event, or the end of an answer without events. Part of an event
// is no reason to leave the silent upstream.
func (sb *standby) readFirst() {
	buf := make([]byte, relayBuffer)
	for {
		n, err := sb.resp.Body.Read(buf)
		sb.first = append(sb.first, buf[:n]...)
		end, _ := eventEnd(sb.first)
		switch {
		case err == io.EOF && len(sb.first) > 0 && end < 0:
			sb.err = eris.Wrap(upstream.ErrConnectionLost, "stream ended in the middle of an event")
			return
		case err != nil && err != io.EOF:
			sb.err = err
			return
		case err == io.EOF || end >= 0:
			return
		case len(sb.first) > maxEventBytes:
			sb.err = eris.Wrapf(errMismatchedAnswer, "an event exceeds %d bytes", maxEventBytes)
			return
		}
	}
}

// discard ends a standby that is done and will not be used.
func (sb *standby) discard() {
	sb.close()
	if sb.placement != nil {
		sb.call.gateway.release(sb.placement)
	}
}
