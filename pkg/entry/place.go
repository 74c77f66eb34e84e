package entry

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// place is one request's place at an upstream. Its fields but target are guarded
// by the balancer's lock.
type place struct {
	target *target
	tokens int // of the prompt
	begun  bool
	hosted bool          // for another entry host
	remote *remotePlacer // who counts it; nil: this entry host
	number uint64        // of the place there
}

// hold counts a request at an upstream. The caller holds the lock.
func (b *balancer) hold(now time.Duration, t *target, tokens int) *place {
	if t.own.requests == 0 {
		t.busyFrom = now
	}
	t.own.add(tokens)
	t.starts = append(t.starts, now)
	return &place{target: t, tokens: tokens}
}

// accept takes a place that another entry host gave; nil when the head can't be
// used from here.
func (b *balancer) accept(now time.Duration, head string, w wish, remote *remotePlacer, number uint64) *place {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[head]
	if t == nil || !b.serves(t, w) || b.avoids(now, t, w) {
		return nil
	}
	p := b.hold(now, t, w.tokens)
	t.placed.add(w.tokens)
	p.remote, p.number = remote, number
	return p
}

// avoid returns the heads that a request must not go to from here.
func (b *balancer) avoid(now time.Duration, w wish) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for _, t := range b.candidates(w) {
		if b.avoids(now, t, w) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// host counts a place for another entry host. The place was chosen as an own one.
func (b *balancer) host(p *place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.target.own.ended(p.tokens, p.begun)
	p.target.hosted.add(p.tokens)
	p.hosted = true
}

// begin notes that the answer to a request has begun.
func (b *balancer) begin(p *place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.begun {
		return
	}
	p.begun = true
	if p.hosted {
		p.target.hosted.begun(p.tokens)
		return
	}
	p.target.own.begun(p.tokens)
	if p.remote != nil {
		p.target.placed.begun(p.tokens)
	}
}

// done takes a request off its upstream, and returns how slow that is.
func (b *balancer) done(p *place) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.hosted {
		p.target.hosted.ended(p.tokens, p.begun)
		return p.target.slowness
	}
	p.target.own.ended(p.tokens, p.begun)
	if p.remote != nil {
		p.target.placed.ended(p.tokens, p.begun)
	}
	return p.target.slowness
}

// takeOver counts a place here that another entry host counted.
func (b *balancer) takeOver(p *place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.target.placed.ended(p.tokens, p.begun)
	p.remote = nil
}

// serves tells whether an upstream could take a request at all.
func (b *balancer) serves(t *target, w wish) bool {
	if t.Service != w.service.Name || t.State != fleet.Ready || t.Cordoned || b.evacuate[t.Zone] {
		return false
	}
	return w.service.Engine == nil || t.IsOpenHead() && fleet.ModelOf(t.Assignment.Group) == w.model
}

// avoids tells whether a request has failed at an upstream, or others lately.
func (b *balancer) avoids(now time.Duration, t *target, w wish) bool {
	return w.tried[t.ID] || now < t.suspectUntil || now < t.backoffUntil
}

// counter returns who counts a place besides this entry host, nil for nobody.
func (b *balancer) counter(p *place) (*remotePlacer, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.remote, p.number
}

// toldSlow takes what other entry hosts measured of the heads' pace.
func (b *balancer) toldSlow(slow map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range slow {
		if t := b.targets[id]; t != nil {
			t.slowness += toldGain * (s - t.slowness)
		}
	}
}

// toldGain smooths over what some entry hosts tell: each has smoothed its own
// samples already.
const toldGain = 0.2
