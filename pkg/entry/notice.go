package entry

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/retryafter"
)

// errWithheld is returned if an upstream said, after it was chosen, that it takes no requests.
var errWithheld = eris.New("upstream takes no requests now")

// pauseSpread is the time over which clients return after the end of a pause.
const pauseSpread = time.Second

// noteAnswer takes note of what an upstream says of itself in an answer: that it leaves, or that it wants
// nothing from this entry host for some time.
func (g *Gateway) noteAnswer(u *fleet.Upstream, status int, h http.Header) {
	if h.Get(g.cfg.Headers.Leaving) == leavingValue {
		g.noteLeaving(u.ID, u.StartedMS)
	}
	values := h.Values("Retry-After")
	if status != http.StatusServiceUnavailable || len(values) == 0 {
		return
	}
	pause, err := retryafter.Parse(values, time.Now())
	if err != nil {
		if g.requestLog.allow(g.now(), false) {
			g.cfg.Logger.Warn("upstream asks for a malformed pause; ignoring it", "upstream", u.ID, "cause", err)
		}
		return
	}
	if g.balancer.beginPause(g.now(), u, pause) {
		g.metrics.Pauses.Inc()
		if g.requestLog.allow(g.now(), false) {
			g.cfg.Logger.Info("upstream asks for a pause", "upstream", u.ID, "pause_ms", pause.Milliseconds())
		}
	}
}

// beginPause withholds requests of this entry host until a pause has passed. The latest end counts. It
// reports whether there was no pause before.
func (b *balancer) beginPause(now time.Duration, u *fleet.Upstream, pause time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[u.ID]
	if t == nil || t.StartedMS != u.StartedMS || pause <= 0 {
		return false
	}
	begins := now >= t.pausedUntil
	t.pausedUntil = max(t.pausedUntil, now+pause)
	return begins
}

// mayReceive returns an error if the upstream of a placement has said meanwhile that it takes no requests.
func (b *balancer) mayReceive(now time.Duration, u *fleet.Upstream) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[u.ID]
	if t != nil && t.StartedMS == u.StartedMS && (t.leaving || now < t.pausedUntil) {
		return errWithheld
	}
	return nil
}

// untilPauseEnds returns after which time the first upstream that could serve the request has ended its
// pause, if all that are left pause. Otherwise it is 0.
func (b *balancer) untilPauseEnds(now time.Duration, req placementRequest) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := time.Duration(0)
	for _, t := range b.candidates(req) {
		if now >= t.pausedUntil {
			return 0
		}
		if left := t.pausedUntil - now; first == 0 || left < first {
			first = left
		}
	}
	return first
}
