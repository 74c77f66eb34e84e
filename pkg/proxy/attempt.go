package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/stream"
	"github.com/sesamemux/sesamemux/pkg/suspect"
	"github.com/sesamemux/sesamemux/pkg/timeline"
	"github.com/sesamemux/sesamemux/pkg/upstream"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// attempt sends a call to the engine or peer of its grant and forwards the answer to s.
func (p *Proxy) attempt(ctx context.Context, q *queue, c *call, g grant, s sink) result {
	c.tracker.BeginAttempt(c.attempt)
	body, err := c.upstreamBody()
	if err != nil {
		return result{outcome: outcome.NotRun, final: refuse(http.StatusBadRequest, outcome.ReasonInvalid, err.Error())}
	}
	if g.peer != nil {
		return p.attemptPeer(ctx, q, c, g.peer, body, s)
	}
	return p.attemptEngine(ctx, q, c, g, body, s)
}

func (p *Proxy) attemptHeader(c *call) http.Header {
	h := make(http.Header, 8)
	h.Set("Content-Type", "application/json")
	h.Set(infer.HeaderRequestID, c.id)
	h.Set(infer.HeaderAttempt, strconv.Itoa(c.attempt))
	h.Set(infer.HeaderPriority, strconv.Itoa(c.priority))
	h.Set(infer.HeaderDeadline, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	return h
}

func (p *Proxy) attemptEngine(ctx context.Context, q *queue, c *call, g grant, body []byte, s sink) result {
	var run *suspect.Run
	sentAt := time.Now()
	req := &upstream.Request{
		Address:     g.dest.head.Address,
		Incarnation: p.incarnation(&g.dest),
		Method:      http.MethodPost,
		Path:        infer.Path,
		Header:      p.attemptHeader(c),
		Body:        body,
		BeforeSend: func() error {
			if err := p.preSendCheck(&g); err != nil {
				return err
			}
			var err error
			run, err = p.startSuspectRun(c, g.dest.head)
			return err
		},
	}
	req.Header.Set(infer.HeaderGroup, string(g.dest.group.ID))
	req.Header.Set(infer.HeaderEpoch, strconv.FormatUint(uint64(g.dest.group.Epoch), 10))
	before := c.tracker.Offset()
	p.recordAttempt(eventSent, c, &g, "offset", before)
	err := p.exchange(ctx, p.engines, req, c, s)
	if c.onTrial {
		p.targets.addTrials(g.dest.target, -1)
	}
	if err == nil {
		endSuspectRun(run, suspect.RunCompleted)
		q.recordServiceTime(c, time.Since(sentAt))
		q.releasePermit(g.permit, permit.EndFinished)
		return result{complete: true, outcome: outcome.Ran}
	}
	p.recordAttempt(eventBroken, c, &g, "err", err)
	res := p.handleEngineFailure(ctx, q, c, g, err)
	if c.tracker.Offset() > before {
		res.outcome = outcome.Ran
	}
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		endSuspectRun(run, suspect.RunAbandoned)
	} else {
		endSuspectRun(run, suspect.RunBroken)
	}
	return res
}

func (p *Proxy) recordAttempt(event string, c *call, g *grant, key string, value any) {
	p.config.Recorder.Record(event, "request", c.traceID, "group", g.dest.group.ID, "host", g.dest.head.Host,
		"attempt", c.attempt, key, value)
}

func endSuspectRun(r *suspect.Run, how suspect.RunResult) {
	if r != nil {
		r.End(time.Now(), how)
	}
}

// incarnation returns the incarnation that a request is addressed to, 0 for any.
func (p *Proxy) incarnation(dst *destination) view.Incarnation {
	if p.options.Unsafe.NoIncarnationCheck {
		return 0
	}
	return dst.head.Incarnation
}

// preSendCheck checks lease, target and permit immediately before the first byte is
// sent.
func (p *Proxy) preSendCheck(g *grant) error {
	if p.options.Unsafe.NoPreSendCheck {
		return nil
	}
	if !p.config.Lease.Valid() {
		return errNoLease
	}
	if !p.index.Load().allows(&g.dest) || !g.permit.Start() {
		return errRevoked
	}
	return nil
}

func (p *Proxy) startSuspectRun(c *call, head view.Member) (*suspect.Run, error) {
	if p.config.Suspects == nil {
		return nil, nil
	}
	run, ok := p.config.Suspects.Start(time.Now(), c.fingerprint, c.organisation.Name, head.Host, head.Incarnation)
	if !ok {
		return nil, errSuspected
	}
	return run, nil
}

// attemptPeer hands a call over to a peer gate.
func (p *Proxy) attemptPeer(ctx context.Context, q *queue, c *call, peer *view.Gate, body []byte, s sink) result {
	q.addHandedOver(1)
	defer q.addHandedOver(-1)
	req := &upstream.Request{
		Address: peer.PeerAddress,
		Method:  http.MethodPost,
		Path:    PeerPath,
		Header:  p.attemptHeader(c),
		Body:    body,
	}
	req.Header.Set(infer.HeaderHop, string(p.config.Gate.Name))
	req.Header.Set(infer.HeaderOrganisation, c.organisation.Name)
	if c.version != "" {
		req.Header.Set(infer.HeaderVersion, c.version)
	}
	req.Header.Set(infer.HeaderTrace, c.traceID)
	p.metrics.handedOver()
	p.config.Recorder.Record(eventHandedOver, "request", c.traceID, "gate", peer.Name)
	before := c.tracker.Offset()
	p.setTimelineStamp(req.Header)
	err := p.exchange(ctx, p.peers, req, c, s)
	if err == nil {
		return result{complete: true, outcome: outcome.Ran}
	}
	c.excludePeer(peer.Name)
	res := result{outcome: p.outcomeOf(err), err: err}
	res.notCharged = res.outcome == outcome.NotRun
	if c.tracker.Offset() > before {
		res.outcome = outcome.Ran
	}
	var refused *refusedError
	if errors.As(err, &refused) && refused.final() {
		res.final = &refusal{status: refused.status, Refusal: refused.refusal}
	}
	return res
}

// setTimelineStamp adds this gate's timeline stamp, so that the peer's events are ordered
// after those recorded here so far.
func (p *Proxy) setTimelineStamp(h http.Header) {
	if p.config.TimelineStamp != nil {
		h.Set(timeline.Header, p.config.TimelineStamp())
	}
}

// exchange sends a request and forwards the streamed answer up to the end marker.
func (p *Proxy) exchange(ctx context.Context, pool *upstream.Pool, req *upstream.Request, c *call, s sink) error {
	res, err := pool.Do(ctx, req)
	if err != nil {
		return err
	}
	defer res.Close()
	if res.Status != http.StatusOK {
		return readRefusal(res)
	}
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return eris.Wrap(errUpstream, "response is not an event stream")
	}
	return p.forward(res.Body, c, s)
}

// forward passes events to the sink until the answer is complete.
func (p *Proxy) forward(body io.Reader, c *call, s sink) error {
	r := stream.NewReader(body)
	for {
		ev, err := r.Next()
		if err == io.EOF && p.options.Unsafe.NoStreamTracking {
			return nil
		}
		if err == io.EOF {
			return stream.ErrTruncated
		}
		if err != nil {
			return err
		}
		offset := c.tracker.Offset()
		verdict, err := p.accept(c, ev)
		if err != nil {
			return err
		}
		switch verdict {
		case stream.Forward:
			p.noteFirstToken(c, ev.Data)
			if err := s.forward(ev.Data, offset, r.Buffered()); err != nil {
				return err
			}
		case stream.Complete:
			if err := s.done(offset); err != nil {
				return err
			}
			return r.DiscardTrailing()
		case stream.Drop:
		}
	}
}

func (p *Proxy) accept(c *call, ev stream.Event) (stream.Verdict, error) {
	if !p.options.Unsafe.NoStreamTracking {
		return c.tracker.Accept(ev)
	}
	if string(ev.Data) == infer.DoneMarker {
		return stream.Complete, nil
	}
	return stream.Forward, nil
}

// noteFirstToken records the time to the first token and the model version of the
// answer.
func (p *Proxy) noteFirstToken(c *call, data []byte) {
	if c.firstTokenSent {
		return
	}
	c.firstTokenSent = true
	p.metrics.firstToken(time.Since(c.arrived))
	var head struct {
		SystemFingerprint string `json:"system_fingerprint"`
	}
	if json.Unmarshal(data, &head) == nil && c.version == "" {
		c.version = strings.TrimPrefix(head.SystemFingerprint, infer.FingerprintPrefix)
	}
}
