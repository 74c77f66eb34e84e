package serviceproxy

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// handoverExtraTime is the time that a peer may need in addition to the service's timeout,
// to record intent and outcome and to query an unknown outcome.
const handoverExtraTime = 15 * time.Second

// HandoverHandler hands calls over to a peer gate that has permits for the service if this
// gate has none left. It serves callers only. Calls from peers go to the Proxy directly,
// so that a call is handed over at most once.
type HandoverHandler struct {
	proxy      *Proxy
	permitRoom func(view.TargetID, view.Incarnation) (free, inFlight int)
}

// NewHandoverHandler returns a handler in front of a proxy. room returns this gate's free
// permits and its calls in flight on a target.
func NewHandoverHandler(p *Proxy, room func(view.TargetID, view.Incarnation) (free, inFlight int)) *HandoverHandler {
	return &HandoverHandler{proxy: p, permitRoom: room}
}

// ServeHTTP implements http.Handler.
func (h *HandoverHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, ok := h.choosePeer(r)
	if !ok {
		h.proxy.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.proxy.config.MaxBodyBytes))
	r.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil {
		r.Body = io.NopCloser(&truncatedReader{body: bytes.NewReader(body), err: err})
		h.proxy.ServeHTTP(w, r)
		return
	}
	if !h.forward(w, r, peer, body) {
		h.proxy.ServeHTTP(w, r)
	}
}

// truncatedReader returns a partial body followed by the error that truncated it.
type truncatedReader struct {
	body io.Reader
	err  error
}

// Read implements io.Reader.
func (f *truncatedReader) Read(b []byte) (int, error) {
	n, err := f.body.Read(b)
	if errors.Is(err, io.EOF) {
		err = f.err
	}
	return n, err
}

// choosePeer returns the gate to hand a call over to: the one with the most permits on a
// host of the service. It returns false if this gate has a free permit itself, or if no
// other gate has any.
func (h *HandoverHandler) choosePeer(r *http.Request) (view.Gate, bool) {
	service, _, ok := splitPath(r.URL.Path)
	if !ok || !h.proxy.config.Lease.Valid() {
		return view.Gate{}, false
	}
	v := h.proxy.config.View()
	var best view.GateShare
	for _, host := range h.proxy.hosts(service) {
		id := view.HostTarget(host.Name)
		if free, _ := h.permitRoom(id, host.Incarnation); free > 0 {
			return view.Gate{}, false
		}
		share, _ := v.Shares.Get(id)
		if share.Incarnation != host.Incarnation {
			continue
		}
		best = slices.MaxFunc(append(h.sharesOfOthers(share), best), func(a, b view.GateShare) int {
			return cmp.Compare(a.Permits, b.Permits)
		})
	}
	if best.Permits == 0 {
		return view.Gate{}, false
	}
	return v.Gates.Get(best.Gate)
}

// sharesOfOthers returns the parts of a share that belong to other gates.
func (h *HandoverHandler) sharesOfOthers(s view.Share) []view.GateShare {
	return slices.DeleteFunc(slices.Clone(s.Gates), func(g view.GateShare) bool {
		return g.Gate == h.proxy.config.Gate
	})
}

// forward sends a call to a peer and relays its answer. It returns false if nothing was sent.
func (h *HandoverHandler) forward(w http.ResponseWriter, r *http.Request, peer view.Gate, body []byte) bool {
	header := plaincall.EndToEndHeader(r.Header)
	c, known := h.resolveCall(r)
	if known && c.isOnceOnly() {
		return h.forwardOnce(w, r, c, peer, header, body)
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout()+handoverExtraTime)
	defer cancel()
	resp, err := h.proxy.transport.Do(ctx, h.request(r, peer, header, body), h.checkLease)
	if err != nil {
		return h.handleFailure(w, r, peer, err)
	}
	defer resp.Body.Close()
	relayStream(w, resp, outcome.Outcome(resp.Header.Get(outcome.Header)))
	return true
}

// forwardOnce sends a once-only call to a peer, without retries. The peer owns the record.
func (h *HandoverHandler) forwardOnce(w http.ResponseWriter, r *http.Request, c *call, peer view.Gate, header http.Header, body []byte) bool {
	if !h.proxy.beginOnceOnly() {
		return false
	}
	defer h.proxy.background.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), c.timeout()+handoverExtraTime)
	defer cancel()
	answer, err := h.proxy.transport.DoOnce(ctx, h.request(r, peer, header, body), h.checkLease, h.proxy.config.MaxAnswerBytes)
	if err != nil {
		return h.handleFailure(w, r, peer, err)
	}
	o := outcome.Outcome(answer.Header.Get(outcome.Header))
	if err := relayBuffered(w, answer.Status, answer.Header, answer.Body, o); err != nil {
		h.proxy.log.Debug("failed to deliver answer to caller", "gate", peer.Name, "err", err)
	}
	return true
}

// resolveCall returns the call as far as needed to determine whether it is once-only.
func (h *HandoverHandler) resolveCall(r *http.Request) (*call, bool) {
	c := &call{method: r.Method}
	return c, h.proxy.resolveService(r.URL, c) == nil
}

func (h *HandoverHandler) checkLease() error {
	if !h.proxy.config.Lease.Valid() {
		return errNoLease
	}
	return nil
}

func (h *HandoverHandler) request(r *http.Request, peer view.Gate, header http.Header, body []byte) *plaincall.Request {
	if h.proxy.config.TimelineStamp != nil {
		header.Set(timeline.Header, h.proxy.config.TimelineStamp())
	}
	return &plaincall.Request{
		Address:  peer.PeerAddress,
		Method:   r.Method,
		Path:     r.URL.Path,
		RawPath:  r.URL.RawPath,
		RawQuery: r.URL.RawQuery,
		Header:   header,
		Body:     body,
	}
}

// handleFailure refuses a call that the peer did not answer. It returns false if the call
// did not reach the peer, so that this gate can serve it.
func (h *HandoverHandler) handleFailure(w http.ResponseWriter, r *http.Request, peer view.Gate, err error) bool {
	o := callOutcome(err)
	h.proxy.log.Warn("hand-over to peer gate failed", "gate", peer.Name, "outcome", o, "err", err)
	if o == outcome.NotRun {
		return false
	}
	c := &call{id: h.proxy.requestID(), method: r.Method}
	h.proxy.refuse(w, c, refuseWith(http.StatusBadGateway, o, outcome.ReasonUpstreamFailed,
		"the peer gate that took over the call failed; a once-only call may be sent again with the same key").withRetryAfter(shortRetryAfter))
	return true
}
