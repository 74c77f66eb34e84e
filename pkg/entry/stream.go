package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// serveStream serves an event stream. If its upstream breaks off or stalls, a resumable stream
// continues on another upstream after the last whole event that the client received.
func (c *call) serveStream() {
	g := c.gateway
	s := &streamRelay{call: c}
	s.splitter.lastID = c.r.Header.Get(g.cfg.Headers.LastEventID)
	for {
		if why := c.mayRun(); why != noReason {
			c.endStream(why)
			return
		}
		req := placementRequest{service: c.service, model: c.model, promptTokens: c.promptTokens, tried: c.tried, resuming: c.headerSent}
		p, why, placer := g.place(c.ctx, req, c.remaining())
		c.placer = placer
		if p == nil && s.waitForUpstream() {
			continue
		}
		if p == nil {
			c.choiceSummary = g.balancer.choiceSummary(g.now(), req)
			c.endStream(why)
			return
		}
		s.placement, s.responseStarted = p, false
		err := s.attempt(p)
		g.release(p)
		if err == nil {
			return
		}
		c.recordFailedAttempt(err)
		if c.ctx.Err() != nil {
			c.outcome = clientLeft
			return
		}
		c.recordUpstreamFailure(p, err)
		c.inspectFailure(&p.upstream, err)
		if !c.mayRepeat(err) {
			c.endStream(c.reason)
			return
		}
		if c.headerSent {
			c.resumed++
		}
	}
}

// waitForUpstream waits briefly for an upstream on which a stream can be resumed. It returns false
// if the client has already waited too long.
func (s *streamRelay) waitForUpstream() bool {
	c := s.call
	if !c.headerSent || c.gateway.now()-s.lastEventAt > maxResumeWait || c.remaining() < minRetryTime {
		return false
	}
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(resumePollInterval):
	}
	clear(c.tried)
	return true
}

const (
	// maxResumeWait is how long a stream may be silent before it is ended: clients disconnect after
	// two seconds.
	maxResumeWait = 1500 * time.Millisecond
	// resumePollInterval is the time between attempts to find an upstream.
	resumePollInterval = 50 * time.Millisecond
)

// endStream ends a request for which no further upstream is tried.
func (c *call) endStream(why reason) {
	switch {
	case c.headerSent:
		c.outcome = cutShort
		c.reason = why
	case c.remaining() <= minRetryTime && c.sent > 0:
		c.failUnknown(http.StatusGatewayTimeout, deadlineReached)
	case c.possibleExecutions > 0:
		c.failUnknown(http.StatusBadGateway, why)
	default:
		c.refuse(why, c.retryAfter(why))
	}
}

// streamRelay relays one stream over one or more attempts.
type streamRelay struct {
	call            *call
	splitter        eventSplitter
	lastEventAt     time.Duration // when the last event was forwarded
	placement       *placement    // of the current attempt
	responseStarted bool          // the current attempt has received events
}

// attempt relays the stream from one upstream. It returns nil if the client has received the
// complete answer, or an error answer of the upstream.
func (s *streamRelay) attempt(p *placement) error {
	c := s.call
	ctx, cancel := context.WithTimeout(c.ctx, c.remaining())
	defer cancel()
	w := s.startStallTimer(p, cancel)
	defer w.stop()
	resp, err := c.exchange(ctx, &p.upstream, s.splitter.lastID)
	if err != nil {
		return w.wrapError(err)
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		return s.relayFailure(p.target, resp)
	}
	if resp.Header.Get(c.gateway.cfg.Headers.Signature) == "" {
		return eris.Wrap(errMismatchedAnswer, "successful answer without a signature")
	}
	err = s.relay(p.target, resp, w)
	return w.wrapError(err)
}

// relayFailure forwards an error answer of an upstream if the client has received no header yet.
func (s *streamRelay) relayFailure(t *target, resp *upstream.Response) error {
	c := s.call
	if c.headerSent || resp.Status >= 500 && c.route.Retryable() && c.possibleExecutions+1 < c.route.MaxAttempts {
		return eris.Errorf("upstream answered %d", resp.Status)
	}
	a, err := c.readAnswer(resp, func() {}) // the caller ends the attempt
	if err != nil {
		return err
	}
	c.gateway.balancer.recordAnswer(c.gateway.now(), t, resp.Status < 500)
	c.forwardAnswer(a)
	return nil
}

// relayBuffer is the read buffer size of a stream, in bytes.
const relayBuffer = 8 << 10

func (s *streamRelay) relay(t *target, resp *upstream.Response, w *stallTimer) error {
	c := s.call
	g := c.gateway
	s.splitter.partial = s.splitter.partial[:0]
	buf := make([]byte, relayBuffer)
	began := g.now()
	last := began
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			now := g.now()
			whole, count := s.splitter.add(buf[:n])
			if count > 0 && !s.responseStarted {
				s.responseStarted = true
				g.responseStarted(s.placement)
			}
			if count > 0 {
				g.balancer.recordProgress(now, t, now-last, s.expectedInterval(last == began))
				w.recordEvent()
				last = now
				if err := s.writeEvents(now, resp.Header, whole); err != nil {
					return err
				}
			}
		}
		if s.splitter.partialTooLong() {
			return eris.Wrapf(errMismatchedAnswer, "an event exceeds %d bytes", maxEventBytes)
		}
		if err == io.EOF && !s.splitter.hasPartial() {
			return s.completed(t, resp.Header)
		}
		if err == io.EOF {
			return eris.Wrap(upstream.ErrConnectionLost, "stream ended in the middle of an event")
		}
		if err != nil {
			return err
		}
	}
}

// typicalBatch is the typical number of requests that a head generates tokens for concurrently.
const typicalBatch = 13

// expectedInterval returns the time between events of an engine with a typical batch. It is 0 for
// the first event of an attempt, which waits for the prompt to be processed.
func (s *streamRelay) expectedInterval(first bool) time.Duration {
	e := s.call.service.Engine
	if first || e == nil {
		return 0
	}
	m, ok := e.Model(s.call.model)
	if !ok {
		return 0
	}
	step := e.StepTime + typicalBatch*e.StepPerRequest
	return time.Duration(float64(step) * float64(e.StepsPerPass) * m.Pace)
}

// writeEvents forwards whole events.
func (s *streamRelay) writeEvents(now time.Duration, head http.Header, whole []byte) error {
	c := s.call
	if !c.headerSent {
		s.writeHeader(head)
	}
	if c.firstEventAt == 0 {
		c.firstEventAt = now
	} else {
		c.longestPause = max(c.longestPause, now-s.lastEventAt)
	}
	s.lastEventAt = now
	if _, err := c.w.Write(whole); err != nil {
		return eris.Wrap(err, "write to client")
	}
	return eris.Wrap(http.NewResponseController(c.w).Flush(), "flush to client")
}

func (s *streamRelay) writeHeader(from http.Header) {
	c := s.call
	c.copyHeader(from)
	c.w.WriteHeader(http.StatusOK)
	c.status = http.StatusOK
	c.headerSent = true
}

// completed records a stream that was relayed to its end.
func (s *streamRelay) completed(t *target, head http.Header) error {
	c := s.call
	if !c.headerSent {
		s.writeHeader(head)
	}
	c.gateway.balancer.recordAnswer(c.gateway.now(), t, true)
	c.outcome = served
	c.framed = c.framed && s.responseStarted
	return nil
}

// stallTimer abandons an attempt when its upstream stalls.
type stallTimer struct {
	relay          *streamRelay
	placement      *placement
	timer          *time.Timer
	cancel         context.CancelFunc
	lastEventAt    atomic.Int64 // when this stream last received an event
	receivedEvents atomic.Bool
	abandoned      atomic.Bool
}

func (s *streamRelay) startStallTimer(p *placement, cancel context.CancelFunc) *stallTimer {
	w := &stallTimer{relay: s, placement: p, cancel: cancel}
	w.lastEventAt.Store(int64(s.call.gateway.now()))
	w.timer = time.AfterFunc(streamingHeadTimeout, w.check)
	return w
}

// recordEvent records a received event.
func (w *stallTimer) recordEvent() {
	w.lastEventAt.Store(int64(w.relay.call.gateway.now()))
	w.receivedEvents.Store(true)
}

func (w *stallTimer) stop() { w.timer.Stop() }

// check suspects the head if it is silent on all streams. It abandons the attempt if the head, or
// this stream for longer, is silent and another upstream is available.
func (w *stallTimer) check() {
	c := w.relay.call
	g := c.gateway
	now := g.now()
	silent := now - time.Duration(w.lastEventAt.Load())
	head, bound := g.balancer.silenceAndTimeout(now, w.placement.target, w.receivedEvents.Load())
	switch {
	case silent < bound:
		w.timer.Reset(bound - silent)
		return
	case head >= bound:
		g.suspectHead(now, w.placement, false)
	case silent < singleStreamTimeout:
		w.timer.Reset(streamCheckInterval)
		return
	}
	if !c.route.Retryable() || !g.balancer.hasAlternative(now, placementRequest{service: c.service, model: c.model, tried: c.tried}) {
		w.timer.Reset(streamCheckInterval)
		return
	}
	w.abandoned.Store(true)
	w.cancel()
}

// wrapError marks the error of an attempt that was abandoned here as errAbandoned.
func (w *stallTimer) wrapError(err error) error {
	if err != nil && w.abandoned.Load() {
		return eris.Wrap(errAbandoned, err.Error())
	}
	return err
}
