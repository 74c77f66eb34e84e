package quarantine

import (
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

const (
	// maxTracked limits the requests that a tracker remembers.
	maxTracked = 16384
	// clearanceTime is how long after a completed run crashes of the request are ignored. Reports
	// of one failure of many upstreams arrive within that time.
	clearanceTime = 5 * time.Second
	// outageWindow and outageCrashes tell an outage: so many other upstreams ended within the
	// window without running the request.
	outageWindow  = 5 * time.Second
	outageCrashes = 3
)

// Tracker remembers which requests ran on upstreams that ended. It is not safe for concurrent use.
type Tracker struct {
	requests map[view.Fingerprint]*trackedRequest
	crashes  map[Crash]time.Duration // time of the first report
}

type trackedRequest struct {
	crashes   []Crash
	lastAt    time.Duration
	clearedAt time.Duration // 0: never
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{requests: map[view.Fingerprint]*trackedRequest{}, crashes: map[Crash]time.Duration{}}
}

// Observe records that a request was running when an upstream ended. It returns all crashes known
// of the request.
func (t *Tracker) Observe(now time.Duration, f view.Fingerprint, c Crash) []Crash {
	t.expire(now)
	if _, known := t.crashes[c]; !known && !c.Assumed {
		t.crashes[c] = now
	}
	r := t.requests[f]
	if r == nil {
		r = &trackedRequest{}
		t.requests[f] = r
	}
	if r.clearedAt != 0 && now-r.clearedAt < clearanceTime {
		return nil
	}
	if now-r.lastAt >= SuspectTTL {
		r.crashes = nil
	}
	r.lastAt = now
	r.crashes, _ = addCrash(r.crashes, c)
	return slices.Clone(r.crashes)
}

// Clear records that a request ran to its end.
func (t *Tracker) Clear(now time.Duration, f view.Fingerprint) {
	t.requests[f] = &trackedRequest{lastAt: now, clearedAt: max(now, 1)}
}

// Outage reports whether so many other upstreams ended lately that the end of one on which the
// request ran is likely to have another cause.
func (t *Tracker) Outage(now time.Duration, f view.Fingerprint) bool {
	others := 0
	r := t.requests[f]
	for c, at := range t.crashes {
		if now-at < outageWindow && (r == nil || !slices.Contains(r.crashes, c)) {
			others++
		}
	}
	return others >= outageCrashes
}

// expire forgets what is too old, and if there is too much the oldest.
func (t *Tracker) expire(now time.Duration) {
	for c, at := range t.crashes {
		if now-at >= outageWindow {
			delete(t.crashes, c)
		}
	}
	if len(t.requests) < maxTracked {
		return
	}
	keep := SuspectTTL
	for len(t.requests) >= maxTracked {
		for f, r := range t.requests {
			if now-r.lastAt >= keep {
				delete(t.requests, f)
			}
		}
		keep /= 2
	}
}
