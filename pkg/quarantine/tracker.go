package quarantine

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// maxTracked limits the requests that a tracker remembers.
const maxTracked = 16384

// Tracker remembers which requests, and parts of prompts, ran on upstreams that ended, and which
// completed. It is not safe for concurrent use.
type Tracker struct {
	since    time.Duration // the tracker's start; crashes of the list are older
	requests map[view.Fingerprint]*history
	waiting  map[view.Fingerprint]bool // requests that become suspects with time, unless a run disproves their crashes
}

// NewTracker returns a tracker that knows nothing.
func NewTracker(now time.Duration) *Tracker {
	return &Tracker{since: now, requests: map[view.Fingerprint]*history{}, waiting: map[view.Fingerprint]bool{}}
}

func (t *Tracker) history(now time.Duration, f view.Fingerprint) *history {
	t.expire(now)
	h := t.requests[f]
	if h == nil {
		h = &history{lastAt: now}
		t.requests[f] = h
	}
	return h
}

// Observe records that a request was running when an upstream ended. It returns all crashes known
// of the request that no completed run disproves, none if this one is disproved, and whether they
// make a suspect.
func (t *Tracker) Observe(now time.Duration, f view.Fingerprint, c SeenCrash) ([]Crash, bool) {
	h := t.history(now, f)
	if now-h.lastAt >= SuspectTTL {
		h.crashes = nil
	}
	if !h.add(c) {
		return nil, false
	}
	at, possible := h.suspiciousAt()
	if possible && now < at && c.Request == "" {
		t.waiting[f] = true
	}
	return plainCrashes(h.crashes), possible && now >= at
}

// Due returns the crashes of requests that have become suspects since they were observed, because no run
// has disproved them in time. It returns each request once. Parts become suspects with a report only.
func (t *Tracker) Due(now time.Duration) map[view.Fingerprint][]Crash {
	var due map[view.Fingerprint][]Crash
	for f := range t.waiting {
		h := t.requests[f]
		if h == nil {
			delete(t.waiting, f)
			continue
		}
		at, possible := h.suspiciousAt()
		switch {
		case !possible:
			delete(t.waiting, f)
		case now >= at:
			delete(t.waiting, f)
			if due == nil {
				due = map[view.Fingerprint][]Crash{}
			}
			due[f] = plainCrashes(h.crashes)
		}
	}
	return due
}

// Completed records a completed run of a request that is observed next.
func (t *Tracker) Completed(now time.Duration, f view.Fingerprint, p Proof) {
	t.history(now, f).prove(p)
}

// Prove records a completed run. It reports whether the run disproves all crashes of the request.
func (t *Tracker) Prove(f view.Fingerprint, p Proof) bool {
	h := t.requests[f]
	if h == nil {
		return p.Began >= t.since
	}
	h.prove(p)
	return len(h.crashes) == 0
}

// Progressed records that a run which began at a time writes its answer.
func (t *Tracker) Progressed(f view.Fingerprint, began time.Duration) {
	if h := t.requests[f]; h != nil {
		h.progressed(began)
	}
}

// CrashedSince reports whether a crash of the request is known that no completed run disproves.
func (t *Tracker) CrashedSince(f view.Fingerprint) bool {
	h := t.requests[f]
	return h != nil && len(h.crashes) > 0
}

// expire forgets the oldest requests if there are too many.
func (t *Tracker) expire(now time.Duration) {
	if len(t.requests) < maxTracked {
		return
	}
	keep := SuspectTTL
	for len(t.requests) >= maxTracked {
		for f, h := range t.requests {
			if now-max(h.lastAt, h.proof.Ended) >= keep {
				delete(t.requests, f)
			}
		}
		keep /= 2
	}
}
