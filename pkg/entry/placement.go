package entry

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// placement is a request counted at an upstream. Its fields except target and upstream are guarded
// by the balancer's lock.
type placement struct {
	target            *target
	upstream          fleet.Upstream // the target's record when it was chosen; may be read without the lock
	chosenAt          time.Duration  // before the request is sent
	tokens            int            // of the prompt
	responseStarted   bool
	forOtherEntryHost bool
	remote            *remotePlacer // the placer that counts it; nil if this entry host does
	number            uint64        // of the placement at the remote placer
}

// addRequest counts a request at an upstream. The caller holds the lock.
func (b *balancer) addRequest(now time.Duration, t *target, tokens int) *placement {
	if t.own.requests == 0 {
		t.busySince = now
	}
	t.own.add(tokens)
	t.recentStarts = append(t.recentStarts, now)
	return &placement{target: t, upstream: t.Upstream, chosenAt: now, tokens: tokens}
}

// acceptPlacement counts a request that a remote placer assigned to head. It returns nil if the
// head can't be used from this entry host.
func (b *balancer) acceptPlacement(now time.Duration, head string, req placementRequest, remote *remotePlacer, number uint64) *placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[head]
	if t == nil || !b.serves(t, req) || b.excluded(now, t, req) {
		return nil
	}
	p := b.addRequest(now, t, req.promptTokens)
	t.remotelyCounted.add(req.promptTokens)
	p.remote, p.number = remote, number
	return p
}

// excludedHeads returns the heads that are excluded for the request by this entry host.
func (b *balancer) excludedHeads(now time.Duration, req placementRequest) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for _, t := range b.candidates(req) {
		if b.excluded(now, t, req) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// moveToHosted counts a placement for another entry host instead of this one.
func (b *balancer) moveToHosted(p *placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.target.own.remove(p.tokens, p.responseStarted)
	p.target.hosted.add(p.tokens)
	p.forOtherEntryHost = true
}

// responseStarted records the first response data of a request.
func (b *balancer) responseStarted(p *placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.responseStarted {
		return
	}
	p.responseStarted = true
	if p.forOtherEntryHost {
		p.target.hosted.responseStarted(p.tokens)
		return
	}
	p.target.own.responseStarted(p.tokens)
	if p.remote != nil {
		p.target.remotelyCounted.responseStarted(p.tokens)
	}
}

// release removes a request from the counts of its upstream and returns the upstream's slowness.
func (b *balancer) release(p *placement) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.forOtherEntryHost {
		p.target.hosted.remove(p.tokens, p.responseStarted)
		return p.target.slowness
	}
	p.target.own.remove(p.tokens, p.responseStarted)
	if p.remote != nil {
		p.target.remotelyCounted.remove(p.tokens, p.responseStarted)
	}
	return p.target.slowness
}

// countLocally counts a placement here whose remote placer no longer does.
func (b *balancer) countLocally(p *placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.target.remotelyCounted.remove(p.tokens, p.responseStarted)
	p.remote = nil
}

// serves reports whether an upstream can serve the request in principle.
func (b *balancer) serves(t *target, req placementRequest) bool {
	if t.Service != req.service.Name || t.State != fleet.Ready || t.leaving || t.Cordoned || b.evacuatedZones[t.Zone] {
		return false
	}
	return req.service.Engine == nil || t.IsOpenHead() && fleet.ModelOf(t.Assignment.Group) == req.model
}

// excluded reports whether the request was already tried on an upstream, or the upstream rejected one
// lately, is suspected or in backoff. What failed between this entry host and the upstream does not
// count for requests of others, which name the upstreams that fail from where they are, and neither does
// a pause that an upstream asked this entry host for.
func (b *balancer) excluded(now time.Duration, t *target, req placementRequest) bool {
	failing := now < t.suspectUntil || now < t.backoffUntil || now < t.pausedUntil
	return req.tried[t.ID] || now < t.rejectedUntil || failing && !req.hosted
}

// remoteOwner returns the remote placer that counts a placement, nil if there is none, and its
// number there.
func (b *balancer) remoteOwner(p *placement) (*remotePlacer, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.remote, p.number
}

// mergeSlowness merges the slowness of heads as measured by another entry host.
func (b *balancer) mergeSlowness(slow map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range slow {
		if t := b.targets[id]; t != nil {
			t.slowness += remoteSlownessGain * (s - t.slowness)
		}
	}
}

// remoteSlownessGain is the weight of a slowness reported by another entry host, which has already
// averaged its own samples.
const remoteSlownessGain = 0.2
