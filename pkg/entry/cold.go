package entry

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// coldFor is how long an upstream counts as cold after its failure domain was
	// taken back: longer than a warm-up and the way of the news.
	coldFor = 12 * time.Second
	// coldMargin is added to the time that an upstream says it stays cold: its
	// word may be as old as two announcements.
	coldMargin = 3 * time.Second
	// coldSubset is the part of the bound that is filled where each upstream is
	// left to some of the entry hosts; the rest is for how hosts fall on it.
	coldSubset = 0.75
	// placerPart is the part of the bound that the entry host that places a
	// model's requests may fill. For a moment two may hold that they do.
	placerPart = 0.3
)

// mayStart tells whether this entry host may send an upstream another request
// now, so that all together stay within what a cold upstream bears in a second.
// The entry host that places a model's requests has one part of the bound; the
// rest is for those that can't reach it, and for one that takes its place. Where
// there are fewer entry hosts than requests in the bound, each keeps to its part,
// whether the upstream is known to be cold or not. Where there are more, each
// sends one a second at most, and to a cold upstream only if it is one of the
// few that it is left to.
func (b *balancer) mayStart(now time.Duration, t *target, w wish) bool {
	if w.service.WarmupPerSecond <= 0 {
		return true
	}
	bound := w.service.WarmupPerSecond*b.coldFactor + b.coldSlack
	cold := now < t.coldUntil
	switch {
	case w.places && cold:
		return float64(t.startsNow(now)+1) <= bound*placerPart
	case w.places:
		return float64(t.startsNow(now)+1) <= bound*coldSubset
	case cold && w.service.Engine != nil:
		bound *= 1 - 2*placerPart
	}
	part := bound / float64(b.entries+entriesToCome)
	if part >= 1 {
		return t.startsNow(now) < int(part)
	}
	return t.startsNow(now) < 1 && (!cold || b.draws(t) < coldSubset*part)
}

// draws returns a number in [0,1) that this entry host has for an upstream.
func (b *balancer) draws(t *target) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(b.name + "/" + t.ID))
	return float64(h.Sum64()%(1<<32)) / math.Exp2(32)
}
