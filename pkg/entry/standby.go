package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// standbyTimeout is how long a standby may send nothing while the request may still be sent to a
// further upstream.
const standbyTimeout = 1200 * time.Millisecond

// standby is an attempt at another upstream beside a silent one. Its fields are read only after
// done is closed, but for dropped and counted, which the stall timer guards.
type standby struct {
	streamAttempt
	done    chan struct{} // closed when the upstream sent the first bytes, or there will be none
	dropped bool          // not needed any more
	counted bool          // it was taken from the retry budget and may have run
}

// run sends the request to another upstream and waits for its first bytes. The placement stays nil
// if no upstream takes the request.
func (sb *standby) run(w *stallTimer, req placementRequest, limit time.Duration) {
	g := sb.call.gateway
	p, why, _ := g.place(sb.ctx, req, sb.call.remaining())
	if p == nil {
		sb.err = eris.New(string(why))
		return
	}
	if !w.admit(sb) {
		g.release(p)
		sb.err = eris.New(string(retryBudgetSpent))
		return
	}
	sb.placement = p
	if limit > 0 {
		timer := time.AfterFunc(limit, sb.cancel)
		defer timer.Stop()
	}
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
	case sb.err != nil:
		return sb.err
	case sb.resp.Status != http.StatusOK:
		return eris.Errorf("upstream answered %d", sb.resp.Status)
	}
	return eris.Wrap(errMismatchedAnswer, "successful answer without a signature")
}

// readFirst waits for the first bytes of the body, or its end.
func (sb *standby) readFirst() {
	buf := make([]byte, relayBuffer)
	n, err := sb.resp.Body.Read(buf)
	sb.first = buf[:n]
	if err != nil && err != io.EOF {
		sb.err = err
	}
}

// discard ends a standby that is done and will not be used.
func (sb *standby) discard() {
	sb.close()
	if sb.placement != nil {
		sb.call.gateway.release(sb.placement)
	}
}
