package entry

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// target is an upstream with the local state about it. Its fields are guarded by the balancer's
// lock.
type target struct {
	fleet.Upstream
	missing time.Duration // since when a settled leader has not listed it; 0 if it is listed

	own                  requestCounts // requests of this entry host
	remotelyCounted      requestCounts // own requests that are counted by a remote placer
	hosted               requestCounts // requests of other entry hosts that are counted here
	others               int           // requests counted by other entry hosts, as last reported
	othersPendingPrompts int           // those of them without response data yet
	lastReceivedAt       time.Duration
	busySince            time.Duration   // when the first of the running requests was sent
	recentStarts         []time.Duration // own requests sent within the last second

	limit limitState

	coldUntil time.Duration // the upstream may be cold until then

	pausedUntil         time.Duration // it wants no requests from this entry host until then
	leaving             bool          // it has said in an answer that it leaves
	suspectUntil        time.Duration
	suspectedAt         time.Duration // time of the last suspicion
	falseSuspicions     int           // suspicions after which the head sent data again
	backoffUntil        time.Duration // after failures of connections from here
	rejectedUntil       time.Duration // after a rejection by the upstream
	unreachable         bool          // no connection could be opened since it last answered
	unproven            bool          // its link failed, or all links were lost, since it last answered
	consecutiveFailures int
	errorRate           float64 // exponential average of failed answers
	slowness            float64 // exponential average of actual to expected event interval
}

// applyWarmup records how long the upstream announced to stay cold.
func (t *target) applyWarmup(now time.Duration, u fleet.Upstream) {
	if u.WarmupMS > 0 {
		t.coldUntil = max(t.coldUntil, now+time.Duration(u.WarmupMS)*time.Millisecond+coldMargin)
	}
}

// total returns the number of requests assigned to the upstream.
func (t *target) total() int { return t.counted().requests + t.others }

// counted returns the requests that this entry host counts.
func (t *target) counted() requestCounts {
	return requestCounts{
		requests:       t.own.requests - t.remotelyCounted.requests + t.hosted.requests,
		pendingPrompts: t.own.pendingPrompts - t.remotelyCounted.pendingPrompts + t.hosted.pendingPrompts,
		pendingTokens:  t.own.pendingTokens - t.remotelyCounted.pendingTokens + t.hosted.pendingTokens,
	}
}

// pendingPrompts returns the number of requests without response data yet.
func (t *target) pendingPrompts() int { return t.counted().pendingPrompts + t.othersPendingPrompts }

// pendingPromptLoad returns the pending prompts in units of a usual prompt. For requests counted
// elsewhere only the number is known.
func (t *target) pendingPromptLoad(req placementRequest) float64 {
	if req.service.Engine == nil || req.service.Engine.MeanPromptTokens <= 0 {
		return float64(t.pendingPrompts())
	}
	return float64(t.counted().pendingTokens)/float64(req.service.Engine.MeanPromptTokens) + float64(t.othersPendingPrompts)
}

// startsInLastSecond returns the number of own requests sent within the last second.
func (t *target) startsInLastSecond(now time.Duration) int {
	kept := t.recentStarts[:0]
	for _, s := range t.recentStarts {
		if now-s < time.Second {
			kept = append(kept, s)
		}
	}
	t.recentStarts = kept
	return len(kept)
}

// silentTime returns how long the upstream has sent nothing although requests were running.
func (t *target) silentTime(now time.Duration) time.Duration {
	return now - max(t.lastReceivedAt, t.busySince)
}

// backOff withholds own requests, longer with each consecutive failure.
func (t *target) backOff(now time.Duration) {
	pause := min(minBackoff<<min(t.consecutiveFailures, 5), maxBackoff)
	t.consecutiveFailures++
	t.backoffUntil = now + pause
	t.unproven = true
}
