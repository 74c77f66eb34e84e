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

// serveStream serves a stream of events. When its upstream breaks off or goes
// silent, a stream that may be resumed goes on elsewhere behind the last whole
// event that the client got.
func (c *call) serveStream() {
	g := c.gate
	s := &streaming{call: c}
	s.events.last = c.r.Header.Get(g.cfg.Headers.LastEventID)
	for {
		need := wish{service: c.service, model: c.model, tokens: c.promptTokens, tried: c.tried, resumes: c.headSent}
		p, why, placer := g.place(c.ctx, need, c.left())
		c.placer = placer
		if p == nil && s.mayWait() {
			continue
		}
		if p == nil {
			c.inputs = g.balancer.inputs(g.now(), need)
			c.streamWithout(why)
			return
		}
		s.place, s.begun = p, false
		err := s.attempt(p.target)
		g.done(p)
		if err == nil {
			return
		}
		c.failedOnce(err)
		if c.ctx.Err() != nil {
			c.outcome = clientLeft
			return
		}
		c.blame(p.target, err)
		if !c.mayRepeat(err) {
			c.streamWithout(c.reason)
			return
		}
		if c.headSent {
			c.resumed++
		}
	}
}

// mayWait waits a moment for an upstream that can go on with a stream; false
// says that the client's patience with its silence is over.
func (s *streaming) mayWait() bool {
	c := s.call
	if !c.headSent || c.gate.now()-s.lastAt > resumeWithin || c.left() < leastTime {
		return false
	}
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(resumePause):
	}
	clear(c.tried)
	return true
}

const (
	// resumeWithin is how long a stream may be silent before it is given up:
	// clients leave after two seconds.
	resumeWithin = 1500 * time.Millisecond
	// resumePause is the time between two looks for an upstream.
	resumePause = 50 * time.Millisecond
)

// streamWithout ends a request for which no further upstream is asked.
func (c *call) streamWithout(why reason) {
	switch {
	case c.headSent:
		c.outcome = cutShort
		c.reason = why
	case c.left() <= leastTime && c.sent > 0:
		c.giveUp(http.StatusGatewayTimeout, timeIsOver)
	case c.ranOn > 0:
		c.giveUp(http.StatusBadGateway, why)
	default:
		c.refuse(why, c.retryAfter(why))
	}
}

// streaming is the relay of one stream over its attempts.
type streaming struct {
	call   *call
	events events
	lastAt time.Duration // when the last event was passed on
	place  *place        // of the present attempt
	begun  bool          // events came from it
}

// attempt relays from one upstream until the stream's end; nil says that the
// client has its whole answer, or the upstream's own failure.
func (s *streaming) attempt(t *target) error {
	c := s.call
	ctx, cancel := context.WithTimeout(c.ctx, c.left())
	defer cancel()
	w := s.watch(t, cancel)
	defer w.stop()
	resp, err := c.exchange(ctx, t, s.events.last)
	if err != nil {
		return w.explain(err)
	}
	defer resp.Close()
	if resp.Status != http.StatusOK {
		return s.failure(t, resp)
	}
	if resp.Header.Get(c.gate.cfg.Headers.Signature) == "" {
		return eris.Wrap(errForeign, "success without a signature")
	}
	err = s.relay(t, resp, w)
	return w.explain(err)
}

// failure passes on an upstream's own failure, if the client has no head yet.
func (s *streaming) failure(t *target, resp *upstream.Response) error {
	c := s.call
	if c.headSent || resp.Status >= 500 && c.route.Retryable() && c.ranOn+1 < c.route.MaxAttempts {
		return eris.Errorf("upstream answered %d", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferedAnswer))
	if err != nil {
		return err
	}
	a := &wholeAnswer{status: resp.Status, header: resp.Header, body: body}
	if err := c.genuine(a); err != nil {
		return err
	}
	c.gate.balancer.answered(c.gate.now(), t, resp.Status < 500)
	c.passOn(a)
	return nil
}

// relayBuffer is the size of one read of a stream, in bytes.
const relayBuffer = 8 << 10

func (s *streaming) relay(t *target, resp *upstream.Response, w *watch) error {
	c := s.call
	g := c.gate
	s.events.rest = s.events.rest[:0]
	buf := make([]byte, relayBuffer)
	began := g.now()
	last := began
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			now := g.now()
			whole, count := s.events.add(buf[:n])
			if count > 0 && !s.begun {
				s.begun = true
				g.begin(s.place)
			}
			if count > 0 {
				g.balancer.progress(now, t, now-last, s.expected(last == began))
				w.moved()
				last = now
				if err := s.write(now, resp.Header, whole); err != nil {
					return err
				}
			}
		}
		if err == io.EOF && !s.events.torn() {
			return s.whole(t, resp.Header)
		}
		if err == io.EOF {
			return eris.New("stream ended in the middle of an event")
		}
		if err != nil {
			return err
		}
	}
}

// usualBatch is the number of requests that usually write together at a head.
const usualBatch = 13

// expected returns the time between events of an engine with a usual batch; 0
// for the first event of an attempt, which waits for its prompt.
func (s *streaming) expected(first bool) time.Duration {
	e := s.call.service.Engine
	if first || e == nil {
		return 0
	}
	m, ok := e.Model(s.call.model)
	if !ok {
		return 0
	}
	step := e.StepTime + usualBatch*e.StepPerRequest
	return time.Duration(float64(step) * float64(e.StepsPerPass) * m.Pace)
}

// write passes whole events on.
func (s *streaming) write(now time.Duration, head http.Header, whole []byte) error {
	c := s.call
	if !c.headSent {
		s.head(head)
	}
	if c.firstAt == 0 {
		c.firstAt = now
	} else {
		c.pause = max(c.pause, now-s.lastAt)
	}
	s.lastAt = now
	if _, err := c.w.Write(whole); err != nil {
		return eris.Wrap(err, "client")
	}
	return eris.Wrap(http.NewResponseController(c.w).Flush(), "client")
}

func (s *streaming) head(from http.Header) {
	c := s.call
	c.copyHeader(from)
	c.w.WriteHeader(http.StatusOK)
	c.status = http.StatusOK
	c.headSent = true
}

// whole ends a stream that came to its end.
func (s *streaming) whole(t *target, head http.Header) error {
	c := s.call
	if !c.headSent {
		s.head(head)
	}
	c.gate.balancer.answered(c.gate.now(), t, true)
	c.outcome = served
	return nil
}

// watch gives an attempt up when its upstream goes silent.
type watch struct {
	s      *streaming
	t      *target
	timer  *time.Timer
	cancel context.CancelFunc
	last   atomic.Int64 // when something came on this stream
	writes atomic.Bool  // events have come
	gaveUp atomic.Bool
}

func (s *streaming) watch(t *target, cancel context.CancelFunc) *watch {
	w := &watch{s: s, t: t, cancel: cancel}
	w.last.Store(int64(s.call.gate.now()))
	w.timer = time.AfterFunc(silentHead, w.look)
	return w
}

// moved notes that something came.
func (w *watch) moved() {
	w.last.Store(int64(w.s.call.gate.now()))
	w.writes.Store(true)
}

func (w *watch) stop() { w.timer.Stop() }

// look acts on silence: of the whole head, or of this stream for longer.
func (w *watch) look() {
	c := w.s.call
	g := c.gate
	now := g.now()
	own := now - time.Duration(w.last.Load())
	head, bound := g.balancer.silence(now, w.t, w.writes.Load())
	switch {
	case own < bound:
		w.timer.Reset(bound - own)
		return
	case head >= bound:
		g.suspectHead(now, w.t, false)
	case own < silentStream:
		w.timer.Reset(watchPause)
		return
	}
	if !c.route.Retryable() || !g.balancer.elsewhere(now, wish{service: c.service, model: c.model, tried: c.tried}) {
		w.timer.Reset(watchPause)
		return
	}
	w.gaveUp.Store(true)
	w.cancel()
}

// explain tells an attempt that was given up here from one that failed.
func (w *watch) explain(err error) error {
	if err != nil && w.gaveUp.Load() {
		return eris.Wrap(errMoved, err.Error())
	}
	return err
}
