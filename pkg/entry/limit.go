package entry

import (
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/ratelimit"
)

const (
	// limitShareAge is how long an entry host uses the share of a limit that the leader gave it.
	limitShareAge = 2 * time.Second
	// fallbackShare is the part of a limit that entry hosts use which can't reach the placer of a
	// model, and fallbackSenders how many of them do.
	fallbackShare   = 0.25
	fallbackSenders = 2
)

// limitState is what is known of the limit that an upstream names.
type limitState struct {
	ratelimit.Statement
	heard   bool // from the leader
	bucket  ratelimit.Bucket
	share   float64       // of the limit, for this entry host; where no placer decides
	shareAt time.Duration // when the leader gave it; 0: never
}

// state takes over a newer statement. It reports whether the upstream is limited from now on.
func (l *limitState) state(s ratelimit.Statement, heard bool) bool {
	begins := s.Limited && !l.Limited
	if begins {
		*l = limitState{}
	}
	l.Statement, l.heard = s, heard
	return begins
}

// noteLimit takes note of the limit that an answer names, or names no more. sentAt is when its request
// was sent.
func (g *Gateway) noteLimit(u *fleet.Upstream, sentAt time.Duration, h http.Header) {
	values := h.Values(g.cfg.Headers.RateLimit)
	b, now := g.balancer, g.now()
	if len(values) == 0 {
		if b.limited.Load() > 0 && b.endLimit(now, u, sentAt) {
			g.cfg.Logger.Info("upstream names no limit any more", "upstream", u.ID)
		}
		return
	}
	perSecond, err := ratelimit.Parse(values)
	if err != nil {
		if g.requestLog.allow(now, false) {
			g.cfg.Logger.Warn("upstream names a malformed limit; keeping the previous one", "upstream", u.ID, "cause", err)
		}
		return
	}
	if b.beginLimit(now, u, perSecond) {
		g.cfg.Logger.Info("upstream names a limit", "upstream", u.ID, "requests_per_s", perSecond)
	}
}

// beginLimit records a limit that an upstream names. It reports whether it named none before.
func (b *balancer) beginLimit(now time.Duration, u *fleet.Upstream, perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[u.ID]
	if t == nil || t.StartedMS != u.StartedMS {
		return false
	}
	begins := t.limit.state(ratelimit.Statement{PerSecond: perSecond, Limited: true, At: now}, false)
	b.countLimited()
	return begins
}

// endLimit records an answer without a limit. It reports whether that ends the limit.
func (b *balancer) endLimit(now time.Duration, u *fleet.Upstream, sentAt time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[u.ID]
	if t == nil || t.StartedMS != u.StartedMS {
		return false
	}
	s := t.limit.Answer(now, sentAt)
	if s == t.limit.Statement {
		return false
	}
	t.limit.state(s, false)
	b.countLimited()
	return true
}

// countLimited counts the limited upstreams. The caller holds the lock.
func (b *balancer) countLimited() {
	n := int64(0)
	for _, t := range b.targets {
		if t.limit.Limited {
			n++
		}
	}
	b.limited.Store(n)
}

// allowsLimit reports whether this entry host may send a limited upstream another request now. The
// placer of a model has the whole limit. Where no placer decides, the leader divides the limit among
// the entry hosts; without its word some of them use equal parts. The caller holds the lock.
func (b *balancer) allowsLimit(now time.Duration, t *target, req placementRequest) bool {
	if !t.limit.Limited {
		return true
	}
	rate := b.limitPart(now, t, req)
	burst := 1.0
	if req.localPlacer || req.service.Engine == nil {
		burst = ratelimit.Burst(rate)
	}
	return t.limit.bucket.Fill(now, rate, burst) && rate > 0
}

// limitPart returns the requests a second that this entry host may send to a limited upstream.
func (b *balancer) limitPart(now time.Duration, t *target, req placementRequest) float64 {
	rate := t.limit.Rate()
	hosts := float64(b.entryHosts + undiscoveredEntryHosts)
	switch {
	case req.localPlacer:
		return rate
	case req.service.Engine != nil && b.subsetHash(t) < fallbackSenders/hosts:
		return fallbackShare * rate / fallbackSenders
	case req.service.Engine != nil:
		return 0
	case t.limit.shareAt != 0 && now-t.limit.shareAt < limitShareAge:
		return rate * t.limit.share
	}
	senders := float64(ratelimit.MaxSenders(t.limit.PerSecond))
	if b.subsetHash(t) >= senders/hosts {
		return 0
	}
	return rate / min(senders, hosts)
}

// spendLimit counts a request that is sent to an upstream. The caller holds the lock.
func (t *target) spendLimit() {
	if t.limit.Limited {
		t.limit.bucket.Take()
	}
}

// limitReports returns the limits that the leader must know of, by upstream.
func (b *balancer) limitReports(now time.Duration) map[string]control.FleetLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	reports := map[string]control.FleetLimit{}
	for id, t := range b.targets {
		l := &t.limit
		if !l.Told(now) {
			continue
		}
		r := control.NewFleetLimit(now, l.Statement)
		r.Heard = l.heard
		if t.Assignment == nil {
			r.Wanted = b.arrivals[t.Service].rate(now)
		}
		reports[id] = r
	}
	return reports
}

// applyLimits takes over newer statements from the leader, and its shares. The caller holds the lock.
func (b *balancer) applyLimits(now time.Duration, limits map[string]control.FleetLimit) {
	for id, l := range limits {
		t := b.targets[id]
		if t == nil {
			continue
		}
		if s := l.Statement(now); s.At > t.limit.At {
			t.limit.state(s, true)
		}
		if l.Shares != nil {
			t.limit.share, t.limit.shareAt = l.Shares[b.entryHost], now
		}
	}
	if len(limits) > 0 {
		b.countLimited()
	}
}

// untilAllowed returns after which time a request that found only limited upstreams is likely to be
// served. Requests that are refused one after the other are told times one after the other, as far
// apart as the limits of the upstreams allow.
func (b *balancer) untilAllowed(now time.Duration, req placementRequest) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := 0.0
	for _, t := range b.candidates(req) {
		if t.limit.Limited {
			rate += t.limit.Rate()
		}
	}
	rate /= float64(b.entryHosts)
	if rate <= 0 {
		return maxLimitWait
	}
	key := req.service.Name + "/" + req.model
	next := max(b.returns[key], now) + time.Duration(float64(time.Second)/rate)
	b.returns[key] = min(next, now+maxLimitWait)
	return b.returns[key] - now
}

// maxLimitWait limits the time after which a request that was refused because of limits comes back.
const maxLimitWait = 10 * time.Second
