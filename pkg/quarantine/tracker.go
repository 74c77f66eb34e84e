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
)

// Tracker remembers which requests, and parts of prompts, ran on upstreams that ended. It is not safe for concurrent use.
type Tracker struct {
	requests map[view.Fingerprint]*trackedRequest
}

type trackedRequest struct {
	crashes   []Crash
	lastAt    time.Duration
	clearedAt time.Duration // 0: never
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{requests: map[view.Fingerprint]*trackedRequest{}}
}

// Observe records that a request was running when an upstream ended. It returns all crashes known
// of the request.
func (t *Tracker) Observe(now time.Duration, f view.Fingerprint, c Crash) []Crash {
	t.expire(now)
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

// expire forgets the oldest requests if there are too many.
func (t *Tracker) expire(now time.Duration) {
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
