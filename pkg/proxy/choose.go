package proxy

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/routing"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// chooser selects destinations during one dispatch. It collects the candidates once and
// updates them as it grants calls.
type chooser struct {
	queue           *queue
	index           *index
	destinations    []destination
	candidates      []routing.Candidate
	hasLocalPermits bool // this gate has permits on a serving group
}

func (q *queue) newChooser() *chooser {
	x := q.proxy.index.Load()
	ch := &chooser{queue: q, index: x, destinations: x.models[q.modelGroup]}
	ch.candidates = make([]routing.Candidate, len(ch.destinations))
	t := q.proxy.targets
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range ch.destinations {
		ch.candidates[i] = q.proxy.candidate(&ch.destinations[i])
		c := &ch.candidates[i]
		ch.hasLocalPermits = ch.hasLocalPermits || (c.FreePermits+c.InFlight > 0 && inService(c))
	}
	return ch
}

func inService(c *routing.Candidate) bool {
	return c.Group.State == view.StateServing && !c.Group.Draining && !c.Unhealthy
}

// candidate describes a group for the router. The caller holds the targets' lock.
func (p *Proxy) candidate(dst *destination) routing.Candidate {
	free, inFlight := p.config.Permits.Capacity(dst.target, dst.head.Incarnation)
	c := routing.Candidate{
		Target:      dst.target,
		Group:       dst.group,
		Head:        dst.head,
		FreePermits: free,
		InFlight:    inFlight,
		Bound:       dst.share.Bound,
		HasTrial:    p.targets.trials[dst.target] > 0,
		Unhealthy:   p.targets.hasCrashed(dst.head) || p.targets.isUnreachable(dst.head),
	}
	if h := p.targets.loads[dst.head.Host]; h != nil && h.incarnation == dst.head.Incarnation {
		c.Load, c.SentSince = h.load, h.sentSince
	}
	for _, m := range dst.group.Members {
		c.Unhealthy = c.Unhealthy || !p.config.Health.MemberOK(m, dst.group)
	}
	return c
}

// localRoom returns how many calls of the model group this gate may run, and how many it
// is running.
func (ch *chooser) localRoom() admission.Capacity {
	var r admission.Capacity
	for i := range ch.candidates {
		c := &ch.candidates[i]
		if inService(c) {
			r.Total += c.FreePermits + c.InFlight
			r.Used += c.InFlight
		}
	}
	return r
}

// mayGrant reports whether any queued call might get a grant.
func (ch *chooser) mayGrant() bool {
	if !ch.hasLocalPermits {
		return true
	}
	for i := range ch.candidates {
		if ch.candidates[i].FreePermits > 0 {
			return true
		}
	}
	return false
}

// grant selects a destination for a call and acquires a permit on it.
func (ch *chooser) grant(c *call) (grant, bool) {
	p := ch.queue.proxy
	if c.trialGate != "" && c.trialGate != p.config.Gate.Name {
		return ch.handOver(c)
	}
	r := routing.Request{
		Adapter:       c.adapter,
		Version:       c.version,
		FailureDomain: p.config.Gate.FailureDomain,
		Blocks:        len(c.blocks),
		Excluded:      c.currentExclusions(),
	}
	ch.addPrefixHits(c)
	choice := p.router.Choose(&r, ch.candidates, xxhash.Sum64String(c.id))
	if choice.Index < 0 {
		if ch.hasLocalPermits && choice.Reason == (routing.PermitFree{}).Name() {
			return grant{}, false
		}
		return ch.handOverOrRefuse(c)
	}
	dst := ch.destinations[choice.Index]
	permit, ok := p.config.Permits.TryAcquire(dst.target, dst.head.Incarnation)
	if !ok {
		ch.candidates[choice.Index].FreePermits = 0
		return grant{}, false
	}
	ch.candidates[choice.Index].FreePermits--
	ch.candidates[choice.Index].InFlight++
	ch.candidates[choice.Index].SentSince++
	p.noteSent(c, &dst)
	return grant{permit: permit, dest: dst}, true
}

// handOverOrRefuse hands a call over to a peer. A call that a peer handed over is refused
// if this gate has no permits for it.
func (ch *chooser) handOverOrRefuse(c *call) (grant, bool) {
	if c.handedOverBy != "" && !ch.hasLocalPermits {
		return grant{refusal: refuseNoUpstream()}, true
	}
	return ch.handOver(c)
}

// addPrefixHits sets how much of the prompt each candidate may have cached.
func (ch *chooser) addPrefixHits(c *call) {
	if len(c.blocks) == 0 {
		return
	}
	t := ch.queue.proxy.targets
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range ch.candidates {
		h := ch.candidates[i].Head
		ch.candidates[i].PrefixHits = t.prefixHints.Hits(h.Host, h.Incarnation, c.blocks)
	}
}

func (p *Proxy) noteSent(c *call, dst *destination) {
	p.targets.recordSent(dst.head, c.blocks)
	if c.onTrial {
		p.targets.addTrials(dst.target, 1)
	}
}
