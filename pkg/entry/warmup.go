package entry

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// evacuationColdTime is how long an upstream is treated as cold after its failure domain was
	// restored: longer than a warm-up and the propagation of the change.
	evacuationColdTime = 12 * time.Second
	// coldMargin is added to the announced warm-up time, which may be as old as two announcements.
	coldMargin = 3 * time.Second
	// coldSubsetShare is the share of the limit that is used where a cold upstream is assigned to a
	// subset of the entry hosts; the rest covers uneven hashing.
	coldSubsetShare = 0.75
	// placerShare is the share of the limit for the placer of a model. Two entry hosts may briefly
	// both act as the placer.
	placerShare = 0.3
	// boundWindow is the span over which the requests to a cold upstream are limited. A process that starts
	// does not know what the one before it at this host has sent within it.
	boundWindow = time.Second
)

// mayStartRequest reports whether this entry host may send an upstream another request now, such
// that all entry hosts together stay within the rate limit of a cold upstream. The placer of a
// model has one share of the limit; the rest is for entry hosts that can't reach it and for its
// successor. A process that has just started sends a cold upstream nothing. If the limit allows at least one request per entry host and second, each keeps to its
// share, whether the upstream is known to be cold or not. Otherwise each sends at most one per
// second, and to a cold upstream only if it belongs to the subset assigned to it.
func (b *balancer) mayStartRequest(now time.Duration, t *target, req placementRequest) bool {
	if req.service.WarmupPerSecond <= 0 {
		return true
	}
	bound := req.service.WarmupPerSecond*b.coldFactor + b.coldSlack
	cold := now < t.coldUntil
	switch {
	case cold && now-b.startedAt < boundWindow:
		return false
	case req.localPlacer && cold:
		return float64(t.startsInLastSecond(now)+1) <= bound*placerShare
	case req.localPlacer:
		return float64(t.startsInLastSecond(now)+1) <= bound*coldSubsetShare
	case cold && req.service.Engine != nil:
		bound *= 1 - 2*placerShare
	}
	part := bound / float64(b.entryHosts+undiscoveredEntryHosts)
	if part >= 1 {
		return t.startsInLastSecond(now) < int(part)
	}
	return t.startsInLastSecond(now) < 1 && (!cold || b.subsetHash(t) < coldSubsetShare*part)
}

// subsetHash returns a number in [0,1) derived from this entry host and the upstream.
func (b *balancer) subsetHash(t *target) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(b.entryHost + "/" + t.ID))
	return float64(h.Sum64()%(1<<32)) / math.Exp2(32)
}
