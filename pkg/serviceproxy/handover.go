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

// handOverTime is what a peer may need beyond the service's timeout: to record
// intent and outcome, and to ask for an outcome.
const handOverTime = 15 * time.Second

// HandoverHandler passes calls on to a gate with permits when this one has none left
// for the service. It serves callers; gates serve each other by the Proxy
// itself, so that a call takes one hop at most.
type HandoverHandler struct {
	proxy *Proxy
	room  func(view.TargetID, view.Incarnation) (free, inFlight int)
}

// NewHandoverHandler returns a handler before a proxy. room tells this gate's free
// permits.
func NewHandoverHandler(p *Proxy, room func(view.TargetID, view.Incarnation) (free, inFlight int)) *HandoverHandler {
	return &HandoverHandler{proxy: p, room: room}
}

// ServeHTTP implements http.Handler.
func (h *HandoverHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, ok := h.peer(r)
	if !ok {
		h.proxy.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.proxy.config.MaxBodyBytes))
	r.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil {
		r.Body = io.NopCloser(&failingReader{body: bytes.NewReader(body), err: err})
		h.proxy.ServeHTTP(w, r)
		return
	}
	if !h.relay(w, r, peer, body) {
		h.proxy.ServeHTTP(w, r)
	}
}

// failingReader gives a body up to where it broke off.
type failingReader struct {
	body io.Reader
	err  error
}

// Read implements io.Reader.
func (f *failingReader) Read(b []byte) (int, error) {
	n, err := f.body.Read(b)
	if errors.Is(err, io.EOF) {
		err = f.err
	}
	return n, err
}

// peer returns the gate to hand a call over to, if there is no permit here and
// one elsewhere.
func (h *HandoverHandler) peer(r *http.Request) (view.Gate, bool) {
	service, _, ok := splitPath(r.URL.Path)
	if !ok || !h.proxy.config.Lease.Valid() {
		return view.Gate{}, false
	}
	v := h.proxy.config.View()
	var best view.GateShare
	for _, host := range h.proxy.hosts(service) {
		id := view.HostTarget(host.Name)
		if free, _ := h.room(id, host.Incarnation); free > 0 {
			return view.Gate{}, false
		}
		share, _ := v.Shares.Get(id)
		if share.Incarnation != host.Incarnation {
			continue
		}
		best = slices.MaxFunc(append(h.others(share), best), func(a, b view.GateShare) int {
			return cmp.Compare(a.Permits, b.Permits)
		})
	}
	if best.Permits == 0 {
		return view.Gate{}, false
	}
	return v.Gates.Get(best.Gate)
}

// others returns the parts of a share that other gates have.
func (h *HandoverHandler) others(s view.Share) []view.GateShare {
	return slices.DeleteFunc(slices.Clone(s.Gates), func(g view.GateShare) bool {
		return g.Gate == h.proxy.config.Gate
	})
}

// relay passes a call on. It returns false if nothing left this gate.
func (h *HandoverHandler) relay(w http.ResponseWriter, r *http.Request, peer view.Gate, body []byte) bool {
	header := plaincall.EndToEndHeader(r.Header)
	c, known := h.service(r)
	if known && c.once() {
		return h.relayOnce(w, r, c, peer, header, body)
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.timeout()+handOverTime)
	defer cancel()
	resp, err := h.proxy.transport.Do(ctx, h.request(r, peer, header, body), h.check)
	if err != nil {
		return h.broke(w, r, peer, err)
	}
	defer resp.Body.Close()
	relayStream(w, resp, outcome.Outcome(resp.Header.Get(outcome.Header)))
	return true
}

// relayOnce passes a once-only call on, once: the peer owns its record.
func (h *HandoverHandler) relayOnce(w http.ResponseWriter, r *http.Request, c *call, peer view.Gate, header http.Header, body []byte) bool {
	if !h.proxy.begin() {
		return false
	}
	defer h.proxy.work.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), c.timeout()+handOverTime)
	defer cancel()
	answer, err := h.proxy.transport.DoOnce(ctx, h.request(r, peer, header, body), h.check, h.proxy.config.MaxAnswerBytes)
	if err != nil {
		return h.broke(w, r, peer, err)
	}
	o := outcome.Outcome(answer.Header.Get(outcome.Header))
	if err := relayWhole(w, answer.Status, answer.Header, answer.Body, o); err != nil {
		h.proxy.log.Debug("answer not delivered", "gate", peer.Name, "err", err)
	}
	return true
}

// service returns what is needed to tell whether a call is once-only.
func (h *HandoverHandler) service(r *http.Request) (*call, bool) {
	c := &call{method: r.Method}
	return c, h.proxy.locate(r.URL, c) == nil
}

func (h *HandoverHandler) check() error {
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

// broke ends a call whose peer gave no answer. It returns false if the peer
// did not get it.
func (h *HandoverHandler) broke(w http.ResponseWriter, r *http.Request, peer view.Gate, err error) bool {
	o := callOutcome(err)
	h.proxy.log.Warn("call not handed over", "gate", peer.Name, "outcome", o, "err", err)
	if o == outcome.NotRun {
		return false
	}
	c := &call{id: h.proxy.requestID(), method: r.Method}
	h.proxy.refuse(w, c, refuseWith(http.StatusBadGateway, o, outcome.ReasonUpstreamFailed,
		"the gate that the call was handed to broke off; a once-only call may be asked for again under its key").after(retrySoon))
	return true
}
