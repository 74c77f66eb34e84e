package quarantine

import (
	"slices"
	"time"
)

const (
	// disproofTime is how long after the first crash of a part that completed lately a later run
	// may still disprove it. A popular part has such a run by then.
	disproofTime = time.Second
	// requestDisproofTime is the same for requests, after their third crash. With the time until a crash is
	// noticed it is less than that within which all entry hosts must know.
	requestDisproofTime = 2400 * time.Millisecond
	// minDisproofTime is requestDisproofTime for a request that takes almost no time.
	minDisproofTime = 100 * time.Millisecond
)

// history is what one process knows of a request or part.
type history struct {
	crashes []SeenCrash   // not disproved, in the order of At
	lastAt  time.Duration // of the last crash
	proof   Proof         // the completed run that began last
	aliveAt time.Duration // the last known run began that makes progress
}

// add records a crash. It reports whether the crash counts.
func (h *history) add(c SeenCrash) bool {
	if h.proof.disproves(c) || c.Request != "" && h.proof.recentAt(c.At) && c.Began <= h.aliveAt {
		return false
	}
	h.lastAt = max(h.lastAt, c.At)
	if i := slices.IndexFunc(h.crashes, func(d SeenCrash) bool { return d.sameIncarnation(c.Crash) }); i >= 0 {
		c = h.crashes[i].merge(c)
		h.crashes = slices.Delete(h.crashes, i, i+1)
	}
	i := slices.IndexFunc(h.crashes, func(d SeenCrash) bool { return d.At > c.At })
	if i < 0 {
		i = len(h.crashes)
	}
	h.crashes = slices.Insert(h.crashes, i, c)
	if len(h.crashes) > maxCrashes {
		h.shorten()
	}
	return true
}

// shorten forgets one crash: of a request, the oldest of those that LimitedCrashes does without; of a part,
// one beside another one if there is one, otherwise the newest.
func (h *history) shorten() {
	if !accusesPart(plainCrashes(h.crashes)) {
		h.crashes = slices.Delete(h.crashes, LimitedCrashes, LimitedCrashes+1)
		return
	}
	sequence := h.sequence()
	for i, c := range h.crashes {
		if !slices.ContainsFunc(sequence, func(d SeenCrash) bool { return d.sameIncarnation(c.Crash) }) {
			h.crashes = slices.Delete(h.crashes, i, i+1)
			return
		}
	}
	h.crashes = h.crashes[:maxCrashes]
}

// sequence returns crashes of which each was under a run that began after the one before. Upstreams
// that end together count as one.
func (h *history) sequence() []SeenCrash {
	var sequence []SeenCrash
	for _, c := range h.crashes {
		if n := len(sequence); n == 0 || c.Began >= sequence[n-1].At {
			sequence = append(sequence, c)
		}
	}
	return sequence
}

// prove records a completed run.
func (h *history) prove(p Proof) {
	if !p.exists() {
		return
	}
	h.proof = h.proof.merge(p)
	h.dropUntil(p.Began)
}

// progressed records that a run which began at a time writes its answer. For a part that completed lately
// that is enough to disregard earlier crashes. A request may end its upstream when it has written for long.
func (h *history) progressed(began time.Duration) {
	h.aliveAt = max(h.aliveAt, began)
	if h.completedBefore() && accusesPart(plainCrashes(h.crashes)) {
		h.dropUntil(began)
	}
}

// dropUntil forgets the crashes of runs that began up to a time.
func (h *history) dropUntil(t time.Duration) {
	h.crashes = slices.DeleteFunc(h.crashes, func(c SeenCrash) bool { return c.Began <= t })
}

// completedBefore reports whether a run completed lately before the first crash.
func (h *history) completedBefore() bool {
	return len(h.crashes) > 0 && h.proof.recentAt(h.crashes[0].At)
}

// suspicious reports whether the crashes make a suspect. What completed shortly before them is
// probably harmless and popular, and was running when upstreams ended for another reason: then
// LimitedCrashes are needed, and later runs get time to complete.
func (h *history) suspicious(now time.Duration) bool {
	at, possible := h.suspiciousAt()
	return possible && now >= at
}

// suspiciousAt returns from when the crashes make a suspect unless a completed run disproves them. possible
// is false if it takes further crashes.
func (h *history) suspiciousAt() (at time.Duration, possible bool) {
	crashes := plainCrashes(h.crashes)
	switch {
	case !Suspicious(crashes):
		return 0, false
	case !h.completedBefore():
		return 0, true
	case accusesPart(crashes):
		sequence := h.sequence()
		crashes = plainCrashes(sequence)
		return sequence[0].At + disproofTime, Suspicious(crashes) && len(crashes) >= LimitedCrashes
	case len(crashes) < LimitedCrashes:
		return 0, false
	}
	return h.crashes[LimitedCrashes-1].At + min(requestDisproofTime, minDisproofTime+2*h.proof.Took), true
}
