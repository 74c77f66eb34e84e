package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// stallTimer watches an attempt whose upstream may fall silent. A silent upstream may be lost or may
// go on, so its attempt is kept while a standby is tried at another upstream. Whichever sends first
// serves the stream.
type stallTimer struct {
	call       *call
	splitter   *eventSplitter // its lastID changes in receive only
	current    *streamAttempt
	headerSent bool   // before this attempt
	trial      string // see call
	earlier    int    // upstreams that may have run the request before this attempt
	timer      *time.Timer

	mu             sync.Mutex
	lastEventAt    time.Duration
	receivedEvents bool
	forwarding     bool // events are being written to the client
	accused        bool // the silence was noted, and reported to the quarantine unless this is a trial
	tried          map[string]bool
	standby        *standby // in progress, or the one that took over
	standbyRuns    int      // standbys that ended and may have run
	takenOver      bool     // the standby serves the stream
	linksLost      bool     // the attempt was given up because this entry host can't reach upstreams
	stopped        bool
}

// startStallTimer watches the present attempt of a stream until stop is called.
func startStallTimer(s *streamRelay) *stallTimer {
	c := s.call
	w := &stallTimer{
		call: c, splitter: &s.splitter, current: s.attempt, headerSent: c.headerSent, trial: c.trial, earlier: c.possibleExecutions,
		lastEventAt: c.gateway.now(), tried: maps.Clone(c.tried),
	}
	w.tried[s.attempt.placement.upstream.ID] = true
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(streamingHeadTimeout, w.check)
	return w
}

// receive adds bytes from the upstream to the splitter and returns the whole events and their number.
// It returns false if the standby has taken over and the bytes must not be used.
func (w *stallTimer) receive(b []byte) ([]byte, int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takenOver || w.linksLost {
		return nil, 0, false
	}
	whole, count := w.splitter.add(b)
	if count == 0 {
		return nil, 0, true
	}
	w.receivedEvents = true
	w.forwarding = true
	w.accused = w.accused && w.trial == ""
	if w.standby != nil {
		w.drop()
		w.timer.Reset(streamingHeadTimeout)
	}
	return whole, count, true
}

// forwarded records that the received events were written to the client. While it reads nothing, no
// bytes are read from the upstream, whose silence is then not known.
func (w *stallTimer) forwarded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forwarding = false
	w.lastEventAt = w.call.gateway.now()
}

// drop gives up the standby in progress, which its upstream may run on. The caller holds the lock.
func (w *stallTimer) drop() {
	w.standby.dropped = true
	w.standby.cancel()
	if w.standby.counted {
		w.standbyRuns++
		w.call.watchAbandoned(w.standby.placement)
	}
	w.standby = nil
}

// lift ends the watch of an attempt from which nothing more is expected, or whose answer is forwarded
// and can't be replaced any more. It returns an error if the standby has taken over.
func (w *stallTimer) lift() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takenOver {
		return errAbandoned
	}
	if w.linksLost {
		return errLinksLost
	}
	w.stopped = true
	w.timer.Stop()
	if w.standby != nil {
		w.drop()
	}
	return nil
}

// stop ends the watch. It returns the standby that is left, if the stream is not complete.
func (w *stallTimer) stop(complete bool) *standby {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	if sb := w.standby; sb != nil && (complete || w.call.ctx.Err() != nil) {
		w.drop()
		if w.takenOver {
			sb.discard() // settle left it to the next attempt
		}
	}
	w.call.possibleExecutions += w.standbyRuns
	maps.Copy(w.call.tried, w.tried)
	return w.standby
}

// check suspects the head if it is silent on all streams, and starts a standby if the head, or this
// stream for longer, is silent.
func (w *stallTimer) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.standby != nil {
		return
	}
	if w.forwarding {
		w.timer.Reset(streamCheckInterval)
		return
	}
	g, p := w.call.gateway, w.current.placement
	now := g.now()
	silent := now - w.lastEventAt
	head, bound := g.balancer.silenceAndTimeout(now, p.target, w.receivedEvents)
	switch {
	case silent < bound:
		w.timer.Reset(bound - silent)
		return
	case head >= bound:
		g.suspectHead(now, p, false)
	case silent < singleStreamTimeout:
		w.timer.Reset(streamCheckInterval)
		return
	}
	if w.mayUsePeer() {
		w.linksLost = true
		w.current.cancel()
		return
	}
	w.accuse()
	if !w.mayStandBy() {
		w.timer.Reset(streamCheckInterval)
		return
	}
	w.startStandby()
}

// accuse reports the silence to the quarantine. It does not wait for the end of the attempt, which
// may last as long as the request, unless it is a trial: that runs until then. The caller holds the
// lock.
func (w *stallTimer) accuse() {
	if !w.accused && w.trial == "" {
		w.call.accuseSilent(w.current.placement, w.lastEventAt)
	}
	w.accused = true
}

// silentTrial reports whether the attempt was a trial whose upstream was silent when it ended.
func (w *stallTimer) silentTrial() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.accused && w.trial != ""
}

// mayRunAgain reports whether the route and the retry budget allow the request to run once more beside or
// after this attempt. The caller holds the lock.
func (w *stallTimer) mayRunAgain() bool {
	c := w.call
	return c.route.Retryable() && c.remaining() >= minRetryTime && w.runs() < c.route.MaxAttempts && w.trial == "" &&
		c.gateway.budget.available(c.service.Name)
}

// mayStandBy reports whether the request may be sent to another upstream now. The caller holds the
// lock.
func (w *stallTimer) mayStandBy() bool { return w.mayRunAgain() && w.call.mayRunFreely() }

// mayUsePeer reports whether another entry host should continue the stream: no upstream can be reached
// from here. The caller holds the lock.
func (w *stallTimer) mayUsePeer() bool {
	c, g := w.call, w.call.gateway
	return g.links.cutOff() && (c.origin != nil || g.relays.hasOther(c.asked)) && w.mayRunAgain()
}

// runs returns how many upstreams may have run the request, without a standby in progress. The
// caller holds the lock.
func (w *stallTimer) runs() int { return w.earlier + 1 + w.standbyRuns }

// startStandby starts a standby. The caller holds the lock.
func (w *stallTimer) startStandby() {
	c := w.call
	sb := &standby{streamAttempt: *newStreamAttempt(c, w.splitter.lastID), done: make(chan struct{})}
	w.standby = sb
	req := placementRequest{
		service: c.service, model: c.model, promptTokens: c.promptTokens, tried: maps.Clone(w.tried),
		resuming: w.headerSent || w.receivedEvents, standby: true,
	}
	go func() {
		sb.run(w, req)
		w.settle(sb)
	}()
}

// admit takes a standby from the retry budget before it is sent to an upstream. It reports whether it may be
// sent.
func (w *stallTimer) admit(sb *standby, p *placement) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.call.gateway
	if sb.dropped || !g.budget.spend(w.call.service.Name) {
		return false
	}
	g.metrics.Retries.WithLabelValues(retryCause(errAbandoned)).Inc()
	sb.counted, sb.placement = true, p
	return true
}

// standbyIsSilent reports the silence of a standby to the quarantine, and gives the standby up if the
// request may still be sent to a further upstream.
func (w *stallTimer) standbyIsSilent(sb *standby) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if sb.dropped || w.takenOver {
		return
	}
	w.call.accuseSilent(sb.placement, w.call.gateway.now()-standbyTimeout)
	if w.runs()+1 < w.call.route.MaxAttempts {
		sb.late = true
		sb.cancel()
	}
}

// settle lets a standby that is done take over, or gives it up. One that is done after the attempt
// has ended is left to the next attempt.
func (w *stallTimer) settle(sb *standby) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(sb.done)
	result := standbyInProgress
	switch {
	case sb.dropped:
		result = standbyNotNeeded
		sb.discard()
	case w.stopped:
		if sb.late {
			sb.err = sb.failure()
		}
	case sb.placement == nil:
		result = standbyNotPlaced
		w.retryStandby(sb)
	case sb.err != nil || sb.late || !sb.usable():
		result = standbyFailed
		w.recordFailedStandby(sb)
		w.retryStandby(sb)
	default:
		result = standbyTookOver
		w.takenOver = true
		w.current.cancel()
	}
	w.logStandby(sb, result)
}

// retryStandby gives up a standby so that another one can be started later. The caller holds the
// lock.
func (w *stallTimer) retryStandby(sb *standby) {
	sb.discard()
	w.standby = nil
	w.timer.Reset(streamCheckInterval)
}

// recordFailedStandby records that a standby was not served. The caller holds the lock.
func (w *stallTimer) recordFailedStandby(sb *standby) {
	c := w.call
	err := sb.failure()
	w.tried[sb.placement.upstream.ID] = true
	if !provesNotRun(err) {
		w.standbyRuns++
	}
	c.recordUpstreamFailure(sb.placement, err)
	switch {
	case leftUnanswered(err):
		c.watchAbandoned(sb.placement)
	case brokeOff(err):
		p, noticed := sb.placement, c.gateway.now()
		c.requestFingerprint() // while nothing else reads it
		go func() {
			if state := c.gateway.endStateOf(&p.upstream, err); c.gateway.blames(p, noticed, state, err) {
				c.accuse(p, noticed, state, "")
			}
		}()
	}
}

// standbyResult is how a standby ended. The values are metric labels.
type standbyResult string

const (
	standbyTookOver   standbyResult = "took over"   // the stream continues on it
	standbyNotNeeded  standbyResult = "not needed"  // the silent upstream went on, or the request ended
	standbyNotPlaced  standbyResult = "not placed"  // no upstream had room, or the retry budget was spent
	standbyFailed     standbyResult = "failed"      // its upstream did not serve it
	standbyInProgress standbyResult = "in progress" // the silent upstream broke off before
)

// logStandby writes the log line of a standby that is done. The caller holds the lock.
func (w *stallTimer) logStandby(sb *standby, result standbyResult) {
	c, g := w.call, w.call.gateway
	g.metrics.Standbys.WithLabelValues(string(result)).Inc()
	if result == standbyNotPlaced || !g.requestLog.allow(g.now(), false) {
		return
	}
	upstream := ""
	if sb.placement != nil {
		upstream = sb.placement.upstream.ID
	}
	g.cfg.Logger.Info("standby of a silent upstream ended", "request", c.r.Header.Get(g.cfg.Headers.Attempt), "silent_upstream", w.current.placement.upstream.ID,
		"silent_ms", (g.now() - w.lastEventAt).Milliseconds(), "standby", upstream, "after_event", sb.lastEventID, "outcome", result, "cause", sb.err)
}

// wrapError marks the error of an attempt that was given up: errAbandoned if the stream continues on the
// standby, errLinksLost if another entry host is to continue it.
func (w *stallTimer) wrapError(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && w.takenOver {
		return eris.Wrap(errAbandoned, err.Error())
	}
	if err != nil && w.linksLost {
		return eris.Wrap(errLinksLost, err.Error())
	}
	return err
}
