package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/reach"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

const (
	// linkTimeout bounds an attempt of a round: several round trips between regions.
	linkTimeout = 300 * time.Millisecond
	// shortLinkTimeout is linkTimeout for the first upstream of a round, and for those tried after all
	// others failed.
	shortLinkTimeout = 150 * time.Millisecond
	// slowConnect is the duration of a request's connection attempt from which the links are checked.
	slowConnect = 150 * time.Millisecond
	// slowFirstByte is how long a new connection may carry nothing before the links are checked: longer
	// than an upstream takes to begin most answers.
	slowFirstByte = 800 * time.Millisecond
	// linkCheckInterval is the shortest time between rounds that failures cause.
	linkCheckInterval = 250 * time.Millisecond
	// linkRetryInterval is the time between rounds of a host that is cut off.
	linkRetryInterval = 200 * time.Millisecond
	// linkEvidenceAge is how long the first bytes of a new connection to some upstream show that the links
	// work.
	linkEvidenceAge = 100 * time.Millisecond
)

// linkWatcher finds out whether this entry host has lost its links to all upstreams. Failures make it
// try several of them; while it is cut off it tries until they can be reached again. A link works if a new
// connection carries bytes: hosts on the way may accept connections in the place of upstreams.
type linkWatcher struct {
	connect   upstream.DialFunc
	question  func(witness) (*http.Request, error) // a request that an upstream answers at once and does not run
	witnesses func(n int) []witness                // n different upstreams
	changed   func(cutOff bool)
	now       func() time.Duration
	logger    *log.Logger

	watching atomic.Bool   // run is in progress
	failures chan struct{} // a failure was seen

	mu            sync.Mutex
	links         reach.Links
	intact        context.Context // done while the host is cut off
	lose          context.CancelFunc
	lastConnected time.Duration // begin of the last connection attempt that led to an answer; 0: none yet
	lastCarried   time.Duration // when a new connection carried its first bytes last; 0: never
	lastHeard     time.Duration // when the last request was sent that an upstream has answered
	restored      time.Duration // when the links last worked again after a loss; 0: they were never lost
	lastRound     *linkRound
}

// linkRound is a round of connection attempts in progress or finished.
type linkRound struct {
	began  time.Duration
	done   chan struct{} // closed when result is set
	result reach.Round
}

func newLinkWatcher(cfg Config, now func() time.Duration, question func(witness) (*http.Request, error), witnesses func(int) []witness, changed func(bool)) *linkWatcher {
	w := &linkWatcher{connect: cfg.DialBackend, question: question, witnesses: witnesses, changed: changed, now: now, logger: cfg.Logger, failures: make(chan struct{}, 1)}
	w.intact, w.lose = context.WithCancel(context.Background())
	return w
}

// cutOff reports whether the host has lost its links.
func (w *linkWatcher) cutOff() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.CutOff()
}

// lostSince reports whether the links were lost at some time from then on.
func (w *linkWatcher) lostSince(then time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.CutOff() || w.restored > then
}

// failed notes that an upstream could not be reached, or not at once.
func (w *linkWatcher) failed() {
	select {
	case w.failures <- struct{}{}:
	default:
	}
}

// dial opens a connection for a request. It gives up once the host is found to be cut off.
func (w *linkWatcher) dial(ctx context.Context, address string) (net.Conn, error) {
	began := w.now()
	w.mu.Lock()
	intact := w.intact
	w.mu.Unlock()
	dialing, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(intact, cancel)()
	slow := time.AfterFunc(slowConnect, w.failed)
	defer slow.Stop()
	conn, err := w.connect(dialing, address)
	if err != nil {
		if ctx.Err() == nil {
			w.failed()
		}
		return nil, err
	}
	return newWatchedConn(conn, slowFirstByte, func() { w.carried(began) }, w.failed), nil
}

// carried notes that a connection whose attempt began at a time has carried its first bytes.
func (w *linkWatcher) carried(began time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastConnected = max(w.lastConnected, began)
	w.lastCarried = w.now()
}

// heard notes an answer to a request that was sent at a time. It says nothing about new connections.
func (w *linkWatcher) heard(sent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastHeard = max(w.lastHeard, sent)
}

// run checks the links after failures until ctx ends.
func (w *linkWatcher) run(ctx context.Context) {
	w.watching.Store(true)
	defer w.watching.Store(false)
	for ctx.Err() == nil {
		if w.cutOff() {
			clock.Sleep(ctx, linkRetryInterval)
			w.round()
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-w.failures:
		}
		if w.worked() {
			continue
		}
		w.round()
		if !w.cutOff() {
			clock.Sleep(ctx, linkCheckInterval)
		}
	}
}

// worked reports whether a new connection carried its first bytes just now.
func (w *linkWatcher) worked() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastCarried != 0 && w.now()-w.lastCarried < linkEvidenceAge
}

// confirm reports whether the host has reached some upstream after since. Without that the failure of an
// upstream may be one of the host's own links.
func (w *linkWatcher) confirm(since time.Duration) bool {
	for {
		w.mu.Lock()
		confirmed, r := max(w.lastConnected, w.lastHeard) > since, w.lastRound
		w.mu.Unlock()
		if confirmed {
			return true
		}
		if r == nil || r.began < since || !r.finished() {
			r = w.round()
		}
		if r.began >= since {
			return r.result.Confirms()
		}
	}
}

// confirmInSilence is confirm for an upstream that has been silent since a time. The links may have been
// lost after its last bytes, so that its early silence shows nothing.
func (w *linkWatcher) confirmInSilence(since, now time.Duration) bool {
	return w.confirm(since + (now-since)/2)
}

// round tries several upstreams, unless another round is in progress, and records the result. It
// returns the round, which is finished.
func (w *linkWatcher) round() *linkRound {
	w.mu.Lock()
	r := w.lastRound
	created := r == nil || r.finished()
	if created {
		r = &linkRound{began: w.now(), done: make(chan struct{})}
		w.lastRound = r
	}
	w.mu.Unlock()
	if !created {
		<-r.done
		return r
	}
	r.result = w.tryInTurn(w.witnesses(reach.Witnesses))
	w.record(r)
	close(r.done)
	return r
}

// tryInTurn tries more and more upstreams until one answers. If the host is cut off already, a few are
// enough.
func (w *linkWatcher) tryInTurn(all []witness) reach.Round {
	few := min(reach.FirstWitnesses, len(all))
	if w.cutOff() {
		return w.tryAll(all[:few], linkTimeout)
	}
	one := min(1, few)
	result := w.tryAll(all[:one], shortLinkTimeout)
	if result.Connected == 0 {
		result = result.Plus(w.tryAll(all[one:few], linkTimeout))
	}
	if result.Connected == 0 {
		result = result.Plus(w.tryAll(all[few:], shortLinkTimeout))
	}
	return result
}

// tryAll tries upstreams at once.
func (w *linkWatcher) tryAll(witnesses []witness, timeout time.Duration) reach.Round {
	var result reach.Round
	reached := make(chan bool, len(witnesses))
	for _, u := range witnesses {
		go func() { reached <- w.try(context.Background(), u, timeout) }()
	}
	for range witnesses {
		if <-reached {
			result.Connected++
		} else {
			result.Failed++
		}
	}
	return result
}

func (r *linkRound) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// try reports whether an upstream answers on a new connection.
func (w *linkWatcher) try(ctx context.Context, u witness, timeout time.Duration) bool {
	began := w.now()
	question, err := w.question(u)
	if err != nil {
		w.logger.Warn("links can't be checked with an upstream", "address", u.address, "service", u.service, "cause", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answered := ask(ctx, w.connect, u.address, question, func(conn net.Conn) bool {
		var answer [512]byte
		n, _ := conn.Read(answer[:])
		return n > 0
	})
	if answered {
		w.carried(began)
	}
	return answered
}

// record takes over the result of a round. Without run nothing would notice that the links are back.
func (w *linkWatcher) record(r *linkRound) {
	if !w.watching.Load() {
		return
	}
	w.mu.Lock()
	changed := w.links.Record(r.result)
	cutOff := w.links.CutOff()
	if changed && cutOff {
		w.lose()
		w.failed() // run may be waiting for failures, and requests cause none any more
	} else if changed {
		w.restored = w.now()
		w.intact, w.lose = context.WithCancel(context.Background())
	}
	w.mu.Unlock()
	if changed {
		w.logger.Info("links to upstreams changed", "cut_off", cutOff, "connected", r.result.Connected, "failed", r.result.Failed, "ms", (w.now() - r.began).Milliseconds())
		w.changed(cutOff)
	}
}
