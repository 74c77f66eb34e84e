package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/endcheck"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// serveStream serves an event stream. If its upstream breaks off, a resumable stream continues on
// another upstream after the last whole event that the client received. If its upstream is silent,
// it continues on the upstream that sends first, see stallTimer.
func (c *call) serveStream() {
	s := &streamRelay{call: c}
	s.splitter.lastID = c.r.Header.Get(c.gateway.cfg.Headers.LastEventID)
	defer s.discardStandby()
	for s.nextAttempt() {
		p := s.attempt.placement
		err := s.relayAttempt()
		c.gateway.release(p)
		if err == nil || s.recordFailure(p, err) {
			return
		}
	}
}

// nextAttempt prepares the next attempt: the standby, if there is one, or a new one at an upstream
// that it chooses. It returns false if the request ended because there is none.
func (s *streamRelay) nextAttempt() bool {
	c, sb := s.call, s.standby
	if s.standby = nil; sb != nil {
		<-sb.done
		if sb.placement != nil {
			s.attempt = &sb.streamAttempt
			return true
		}
		sb.discard()
		if !c.mayRepeat(c.cause) {
			c.endStream(c.reason)
			return false
		}
	}
	return s.chooseUpstream()
}

// discardStandby ends a standby that is left when the request ends.
func (s *streamRelay) discardStandby() {
	if s.standby != nil {
		s.standby.cancel()
		<-s.standby.done
		if p := s.standby.placement; p != nil && !provesNotRun(s.standby.err) {
			s.call.watchAbandoned(p)
		}
		s.standby.discard()
	}
}

// chooseUpstream prepares an attempt at another upstream. It returns false if the request ended
// because there is none.
func (s *streamRelay) chooseUpstream() bool {
	c, g := s.call, s.call.gateway
	for {
		if g.links.cutOff() {
			if c.origin != nil || !s.serveByPeer() {
				c.endStream(linksLost)
			}
			return false
		}
		if why := c.mayRun(); why != noReason {
			c.endStream(why)
			return false
		}
		req := placementRequest{service: c.service, model: c.model, promptTokens: c.promptTokens, tried: c.tried, resuming: c.headerSent}
		p, why, placer := g.place(c.ctx, req, c.remaining())
		c.placer = placer
		if p != nil {
			s.attempt = newStreamAttempt(c, s.splitter.lastID)
			s.attempt.placement = p
			return true
		}
		if c.peersMayReach(why, req) && s.serveByPeer() {
			return false
		}
		if !s.waitForUpstream() {
			c.choiceSummary = g.balancer.choiceSummary(g.now(), req)
			c.endStream(why)
			return false
		}
	}
}

// recordFailure records an attempt that did not serve the stream. It returns true if that ends the
// request.
func (s *streamRelay) recordFailure(p *placement, err error) bool {
	c := s.call
	c.recordFailedAttempt(err)
	if c.clientGone() {
		c.leaveRun(p, err)
		c.outcome = clientLeft
		s.recordAbandonedStream(p)
		return true
	}
	if c.ctx.Err() != nil {
		c.endStream(processStops)
		return true
	}
	c.recordUpstreamFailure(p, err)
	c.inspectFailure(p, err)
	if s.standby == nil && !c.mayRepeat(err) {
		c.endStream(c.reason)
		return true
	}
	if c.headerSent {
		c.resumed++
	}
	return false
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
	events          int           // forwarded, over all attempts
	attempt         *streamAttempt
	responseStarted bool          // the attempt has received events
	startedAt       time.Duration // when it received the first
	progressed      bool          // the quarantine knows that its upstream survives it
	standby         *standby      // of the last attempt; it becomes the next one
}

// relayAttempt relays the stream from the upstream of the attempt. It returns nil if the client has
// received the complete answer, or an error answer of the upstream.
func (s *streamRelay) relayAttempt() error {
	c, a := s.call, s.attempt
	defer a.close()
	s.responseStarted, s.progressed = false, false
	w := startStallTimer(s)
	if a.resp == nil && a.err == nil {
		a.send()
	}
	c.recordExchange(a.placement, a.resp, a.err)
	err := w.wrapError(s.relayAnswer(w))
	s.standby = w.stop(err == nil)
	if w.silentTrial() && err != nil && !brokeOff(err) && !provesNotRun(err) && c.gateway.blames(a.placement, c.gateway.now(), endcheck.Unknown, err) {
		c.accuse(a.placement, c.gateway.now(), endcheck.Unknown, c.trial)
		c.trial = ""
	}
	return err
}

// relayAnswer relays the answer of the attempt, if there is one.
func (s *streamRelay) relayAnswer(w *stallTimer) error {
	a := s.attempt
	switch {
	case a.err != nil:
		return a.err
	case a.resp.Status != http.StatusOK:
		return s.relayFailure(a.resp, w)
	case !a.signed():
		return errUnsigned
	}
	return s.relay(w)
}

// relayFailure forwards an error answer of an upstream if the client has received no header yet.
func (s *streamRelay) relayFailure(resp *upstream.Response, w *stallTimer) error {
	c := s.call
	if c.headerSent || resp.Status >= 500 && c.route.Retryable() && c.possibleExecutions+1 < c.route.MaxAttempts {
		return eris.Errorf("upstream answered %d", resp.Status)
	}
	a, err := c.readAnswer(s.attempt.placement, resp, w.lift, func() {}) // the caller ends the attempt
	if err != nil {
		return err
	}
	if a.judged() {
		c.recordAnswer(a)
	}
	c.forwardAnswer(a)
	return nil
}

// relayBuffer is the read buffer size of a stream, in bytes.
const relayBuffer = 8 << 10

// relay forwards the events of the attempt's answer.
func (s *streamRelay) relay(w *stallTimer) error {
	g, t, header := s.call.gateway, s.attempt.placement.target, s.attempt.resp.Header
	body := s.attempt.body()
	s.splitter.begin()
	buf := make([]byte, relayBuffer)
	began := g.now()
	last := began
	for {
		n, err := body.Read(buf)
		if n > 0 {
			now := g.now()
			whole, count, ok := w.receive(buf[:n])
			if !ok {
				return errAbandoned
			}
			if count > 0 && !s.responseStarted {
				s.responseStarted, s.startedAt = true, now
				g.responseStarted(s.attempt.placement)
			}
			if count > 0 {
				g.balancer.recordProgress(now, t, now-last, s.expectedInterval(last == began))
				last = now
				s.events += count
				s.noteProgress(now)
				err := s.writeEvents(now, header, whole)
				w.forwarded()
				if err != nil {
					return err
				}
			}
		}
		if err := s.splitter.check(err); err != nil {
			return err
		}
		if err == io.EOF {
			if err := w.lift(); err != nil {
				return err
			}
			if err := s.call.confirmEnd(s.attempt.placement, s.attempt.resp); err != nil {
				return err
			}
			return s.completed(t, header)
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
	defer func() { s.lastEventAt = c.gateway.now() }()
	if _, err := c.w.Write(whole); err != nil {
		return eris.Wrap(err, "write to client")
	}
	return eris.Wrap(http.NewResponseController(c.w).Flush(), "flush to client")
}

func (s *streamRelay) writeHeader(from http.Header) {
	c := s.call
	c.copyHeader(from)
	c.answerBegins(http.StatusOK)
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
