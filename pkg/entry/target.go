package entry

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// target is an upstream with what this entry host knows of it. Its fields are
// guarded by the balancer's lock.
type target struct {
	fleet.Upstream
	missing time.Duration // since a settled leader did not name it; 0: it did

	own      counts // requests of this entry host
	placed   counts // those of them that another entry host counts
	hosted   counts // requests of others that are counted here
	others   int    // requests that other entry hosts count, as last told
	othersUn int    // those of them from which nothing has come yet
	lastByte time.Duration
	busyFrom time.Duration   // when the first of the running requests was sent
	starts   []time.Duration // own requests sent in the last second

	coldUntil time.Duration // it may be cold until then

	suspectUntil time.Duration
	suspectedAt  time.Duration // last time
	alarms       int           // suspicions of this head after which it sent again
	backoffUntil time.Duration
	failures     int     // in a row
	errorRate    float64 // smoothed share of failed answers
	slowness     float64 // smoothed time between events against the expected one
}

// cold notes how long the upstream stays cold by its own word.
func (t *target) cold(now time.Duration, u fleet.Upstream) {
	if u.WarmupMS > 0 {
		t.coldUntil = max(t.coldUntil, now+time.Duration(u.WarmupMS)*time.Millisecond+coldMargin)
	}
}

// total returns the requests that run at the upstream.
func (t *target) total() int { return t.counted().requests + t.others }

// counted returns the requests that this entry host counts.
func (t *target) counted() counts {
	return counts{
		requests: t.own.requests - t.placed.requests + t.hosted.requests,
		unread:   t.own.unread - t.placed.unread + t.hosted.unread,
		tokens:   t.own.tokens - t.placed.tokens + t.hosted.tokens,
	}
}

// unread returns the requests there from which nothing has come yet.
func (t *target) unread() int { return t.counted().unread + t.othersUn }

// unreadPrompts returns what the upstream has to read, in usual prompts. Of
// requests that others count only the number is known.
func (t *target) unreadPrompts(w wish) float64 {
	if w.service.Engine == nil || w.service.Engine.MeanPromptTokens <= 0 {
		return float64(t.unread())
	}
	return float64(t.counted().tokens)/float64(w.service.Engine.MeanPromptTokens) + float64(t.othersUn)
}

// startsNow returns the own requests sent within the last second.
func (t *target) startsNow(now time.Duration) int {
	kept := t.starts[:0]
	for _, s := range t.starts {
		if now-s < time.Second {
			kept = append(kept, s)
		}
	}
	t.starts = kept
	return len(kept)
}

// silence returns for how long something was due and nothing came.
func (t *target) silence(now time.Duration) time.Duration {
	return now - max(t.lastByte, t.busyFrom)
}
