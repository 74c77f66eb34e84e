package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/reach"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

const (
	// linkTimeout bounds a connection attempt of a round: several round trips between regions.
	linkTimeout = 300 * time.Millisecond
	// secondLinkTimeout is linkTimeout for the upstreams tried after all others of a round failed.
	secondLinkTimeout = 150 * time.Millisecond
	// slowConnect is the duration of a request's connection attempt from which the links are checked.
	slowConnect = 150 * time.Millisecond
	// linkCheckInterval is the shortest time between rounds that failures cause.
	linkCheckInterval = 250 * time.Millisecond
	// linkRetryInterval is the time between rounds of a host that is cut off.
	linkRetryInterval = 200 * time.Millisecond
	// linkEvidenceAge is how long a connection to another upstream shows that the links work.
	linkEvidenceAge = 100 * time.Millisecond
)

// linkWatcher finds out whether this entry host has lost its links to all upstreams. Failures make it
// try several of them; while it is cut off it tries until they can be reached again.
type linkWatcher struct {
	connect   upstream.DialFunc
	witnesses func(n int) []string // addresses of n different upstreams
	changed   func(cutOff bool)
	now       func() time.Duration
	logger    *log.Logger

	watching atomic.Bool   // run is in progress
	failures chan struct{} // a failure was seen

	mu            sync.Mutex
	links         reach.Links
	intact        context.Context // done while the host is cut off
	lose          context.CancelFunc
	lastConnected time.Duration // begin of the last successful attempt; 0: none yet
	lastHeard     time.Duration // when the last request was sent that an upstream has answered
	lastRound     *linkRound
}

// linkRound is a round of connection attempts in progress or finished.
type linkRound struct {
	began  time.Duration
	done   chan struct{} // closed when result is set
	result reach.Round
}

func newLinkWatcher(cfg Config, now func() time.Duration, witnesses func(int) []string, changed func(bool)) *linkWatcher {
	w := &linkWatcher{connect: cfg.DialBackend, witnesses: witnesses, changed: changed, now: now, logger: cfg.Logger, failures: make(chan struct{}, 1)}
	w.intact, w.lose = context.WithCancel(context.Background())
	return w
}

// cutOff reports whether the host has lost its links.
func (w *linkWatcher) cutOff() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links.CutOff()
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
	switch {
	case err == nil:
		w.connected(began)
	case ctx.Err() == nil:
		w.failed()
	}
	return conn, err
}

// connected notes a successful attempt that began at a time.
func (w *linkWatcher) connected(began time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastConnected = max(w.lastConnected, began)
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

// worked reports whether a connection was opened just now.
func (w *linkWatcher) worked() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastConnected != 0 && w.now()-w.lastConnected < linkEvidenceAge
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
	addresses := w.witnesses(reach.Witnesses)
	first := min(reach.FirstWitnesses, len(addresses))
	r.result = w.tryAll(addresses[:first], linkTimeout)
	if r.result.Connected == 0 && !w.cutOff() {
		rest := w.tryAll(addresses[first:], secondLinkTimeout)
		r.result.Connected += rest.Connected
		r.result.Failed += rest.Failed
	}
	w.record(r)
	close(r.done)
	return r
}

// tryAll tries upstreams at once.
func (w *linkWatcher) tryAll(addresses []string, timeout time.Duration) reach.Round {
	var result reach.Round
	reached := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { reached <- w.try(address, timeout) }()
	}
	for range addresses {
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

// try reports whether a connection to an upstream can be opened.
func (w *linkWatcher) try(address string, timeout time.Duration) bool {
	began := w.now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := w.connect(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	w.connected(began)
	return true
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
		w.intact, w.lose = context.WithCancel(context.Background())
	}
	w.mu.Unlock()
	if changed {
		w.logger.Info("links to upstreams changed", "cut_off", cutOff, "connected", r.result.Connected, "failed", r.result.Failed, "ms", (w.now() - r.began).Milliseconds())
		w.changed(cutOff)
	}
}
