package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/endcheck"
	"github.com/sesamemux/sesamemux/pkg/fleet"
)

const (
	// runWatchTime is how long the upstream of a run is watched at least once nobody waits for its answer
	// any more, and how long it is watched after the time limit of the run. Some upstreams run a request
	// on after its connection is closed, until that limit.
	runWatchTime = 2 * time.Second
	// unclearWatchTime is how long an upstream whose silence may be that of this entry host's links is
	// watched, so that its fate shows once they work.
	unclearWatchTime = 10 * time.Second
	// runCheckInterval is the time between the beginnings of questions to a watched upstream, unless one takes
	// longer; runCheckIntervalPerEntryHost, for each entry host, where that is longer.
	runCheckInterval             = 200 * time.Millisecond
	runCheckIntervalPerEntryHost = 10 * time.Millisecond
	// lateRunCheckInterval is runCheckInterval for runs that nobody has waited for during runWatchTime.
	lateRunCheckInterval = 700 * time.Millisecond
	// runCheckTimeout is how long a watched upstream may take for an answer to a question.
	runCheckTimeout = 400 * time.Millisecond
	// silentRunChecks is the number of questions in a row without an answer that show silence.
	silentRunChecks = 2
	// maxWatchedRuns limits the runs that are watched.
	maxWatchedRuns = 4096
)

// runWatch keeps runs without an answer: they take long, the time of the request was over, or its client left.
// Whether their upstream ends or falls silent under them shows only while they last or afterwards. Overload
// is neither: an upstream that is overloaded answers others.
type runWatch struct {
	gateway *Gateway

	stopped context.Context // done when nothing is watched any more
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu    sync.Mutex
	count int
	runs  map[endcheck.Incarnation][]watchedRun
}

// watchedRun is a run that is watched.
type watchedRun struct {
	accusedRun
	from time.Duration // it is checked often for runWatchTime from then on
	over time.Duration // the upstream has stopped it by then
}

func newRunWatch(g *Gateway) *runWatch {
	w := &runWatch{gateway: g, runs: map[endcheck.Incarnation][]watchedRun{}}
	w.stopped, w.cancel = context.WithCancel(context.Background())
	return w
}

// stop ends all watches.
func (w *runWatch) stop() {
	w.mu.Lock()
	w.cancel() // no watch begins after it
	w.mu.Unlock()
	w.work.Wait()
}

// add watches a run. It returns false if too many are watched, or the process stops.
func (w *runWatch) add(r accusedRun) bool {
	u := r.upstream
	who := endcheck.Incarnation{ID: u.ID, StartedMS: u.StartedMS}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count >= maxWatchedRuns || w.stopped.Err() != nil {
		return false
	}
	runs, watched := w.runs[who]
	if i := slices.IndexFunc(runs, func(other watchedRun) bool { return other.sameRun(r) }); i >= 0 {
		runs[i] = watchedRun{r, w.gateway.now(), max(w.gateway.now(), r.ends)}
		return true
	}
	w.count++
	now := w.gateway.now()
	w.runs[who] = append(runs, watchedRun{r, now, max(now, r.ends)})
	if !watched {
		w.work.Go(func() { w.watch(who, &u) })
	}
	return true
}

// drop ends the watch of a run that has an answer after all.
func (w *runWatch) drop(r accusedRun) {
	who := endcheck.Incarnation{ID: r.upstream.ID, StartedMS: r.upstream.StartedMS}
	w.take(who, func(other watchedRun) bool { return !other.sameRun(r) })
}

// checkInterval returns the time between the beginnings of questions to an upstream.
func (w *runWatch) checkInterval(who endcheck.Incarnation) time.Duration {
	now, interval := w.gateway.now(), lateRunCheckInterval
	w.mu.Lock()
	for _, r := range w.runs[who] {
		if now-r.from < runWatchTime {
			interval = runCheckInterval
		}
	}
	w.mu.Unlock()
	return max(interval, time.Duration(w.gateway.balancer.entryCount())*runCheckIntervalPerEntryHost)
}

// watch asks an upstream until none of its runs is left.
func (w *runWatch) watch(who endcheck.Incarnation, u *fleet.Upstream) {
	g := w.gateway
	silent, silentSince := 0, time.Duration(0)
	announced := false // its end was, and shows nothing
	for {
		began, interval := g.now(), w.checkInterval(who)
		state := g.examineLifetime(w.stopped, u, began-interval)
		announced = announced || g.balancer.leaves(u)
		if silent > 0 && g.links.lostSince(silentSince) {
			silent = 0
		}
		switch {
		case w.stopped.Err() != nil:
		case state != endcheck.Alive && announced:
			silent = 0
		case state == endcheck.Ended || state == endcheck.Refuses:
			w.accuse(who, began, state)
		case state != endcheck.Unknown:
			silent = 0
		default:
			if silent++; silent == 1 {
				silentSince = began
			}
			if silent >= silentRunChecks && !g.balancer.heardSince(u, silentSince) {
				w.accuse(who, silentSince, state)
			}
		}
		if w.expire(who, state == endcheck.Alive || announced); w.forget(who) {
			return
		}
		clock.Sleep(w.stopped, max(began+interval-g.now(), 0))
	}
}

// take removes the runs of an upstream that are not to be kept, and returns them.
func (w *runWatch) take(who endcheck.Incarnation, keep func(watchedRun) bool) []watchedRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var kept, taken []watchedRun
	for _, r := range w.runs[who] {
		if keep(r) {
			kept = append(kept, r)
		} else {
			taken = append(taken, r)
		}
	}
	w.count -= len(taken)
	w.runs[who] = kept
	return taken
}

// forget ends the watch of an upstream if no run is left there, and reports whether it did.
func (w *runWatch) forget(who endcheck.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.runs[who]) > 0 {
		return false
	}
	delete(w.runs, who)
	return true
}

// accuse holds the end or the silence of an upstream against the runs that are watched there. Silence that
// may be that of this entry host's links accuses none.
func (w *runWatch) accuse(who endcheck.Incarnation, noticed time.Duration, state endcheck.State) {
	g := w.gateway
	if state == endcheck.Unknown && !g.links.confirmInSilence(noticed, g.now()) {
		return
	}
	for _, r := range w.take(who, func(watchedRun) bool { return false }) {
		g.metrics.BrokenAttempts.WithLabelValues(string(state)).Inc()
		if g.requestLog.allow(g.now(), false) {
			g.cfg.Logger.Info("upstream ended or fell silent behind a request without an answer", "request", r.attempt, "fingerprint", r.fingerprint,
				"parts", r.parts, "upstream", who.ID, "born", who.StartedMS, "upstream_state", state)
		}
		g.accuse(r.accusedRun, noticed, state)
	}
}

// expire ends the watch of the runs of an upstream whose time is over: runWatchTime if the upstream is sound,
// otherwise unclearWatchTime.
func (w *runWatch) expire(who endcheck.Incarnation, sound bool) {
	now, stops := w.gateway.now(), w.stopped.Err() != nil
	more := unclearWatchTime
	if sound {
		more = runWatchTime
	}
	for _, r := range w.take(who, func(r watchedRun) bool { return now < r.over+more && !stops }) {
		w.gateway.endWatchedTrial(r)
	}
}

// endWatchedTrial ends the trial of a run, if it was one, of which nothing is known.
func (g *Gateway) endWatchedTrial(r watchedRun) {
	if r.trial != "" {
		g.reporter.trialEnded(control.FleetTrial{Fingerprint: r.fingerprint, Trial: r.trial})
	}
}

// examineLifetime finds out whether an upstream has ended (Ended, Refuses), is silent (Unknown) or answers. It is
// not asked if it has answered some request since a time.
func (g *Gateway) examineLifetime(ctx context.Context, u *fleet.Upstream, since time.Duration) endcheck.State {
	switch {
	case g.balancer.replaced(u): // perhaps after a loss of power, which none of its runs caused
		return endcheck.Refuses
	case g.balancer.heardSince(u, since), g.links.try(ctx, witness{u.Address, u.Service}, runCheckTimeout):
		return endcheck.Alive
	}
	if state := g.checkEnd(u); state != endcheck.Alive {
		return state
	}
	return endcheck.Unknown
}

// heardSince reports whether this incarnation of an upstream has answered some request from then on.
func (b *balancer) heardSince(u *fleet.Upstream, then time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[u.ID]
	return t != nil && t.StartedMS == u.StartedMS && t.lastReceivedAt > 0 && t.lastReceivedAt >= then
}

// leaves reports whether this incarnation of an upstream has announced its end.
func (b *balancer) leaves(u *fleet.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[u.ID]
	return u.Leaving() || t != nil && t.StartedMS == u.StartedMS && (t.leaving || t.Leaving())
}

// replaced reports whether another incarnation has taken the place of this one.
func (b *balancer) replaced(u *fleet.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.targets[u.ID]; t != nil {
		return t.StartedMS > u.StartedMS || t.StartedMS == u.StartedMS && t.State == fleet.Gone && !t.Deregistered
	}
	for _, t := range b.targets {
		if t.Address == u.Address && t.StartedMS > u.StartedMS {
			return true
		}
	}
	return false
}
