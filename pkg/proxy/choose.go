package proxy

import (
	"github.com/cespare/xxhash/v2"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/routing"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// chooser makes the choices of one pump. Candidates are gathered once and kept
// up to date while it grants.
type chooser struct {
	queue      *queue
	index      *index
	places     []place
	candidates []routing.Candidate
	local      bool // this gate has permits on a group in service
}

func (q *queue) newChooser() *chooser {
	x := q.proxy.index.Load()
	ch := &chooser{queue: q, index: x, places: x.models[q.modelGroup]}
	ch.candidates = make([]routing.Candidate, len(ch.places))
	t := q.proxy.targets
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range ch.places {
		ch.candidates[i] = q.proxy.candidate(&ch.places[i])
		c := &ch.candidates[i]
		ch.local = ch.local || (c.FreePermits+c.InFlight > 0 && inService(c))
	}
	return ch
}

func inService(c *routing.Candidate) bool {
	return c.Group.State == view.StateServing && !c.Group.Draining && !c.Unhealthy
}

// candidate describes a group. The targets' lock is held.
func (p *Proxy) candidate(at *place) routing.Candidate {
	free, inFlight := p.config.Permits.Capacity(at.target, at.head.Incarnation)
	c := routing.Candidate{
		Target:      at.target,
		Group:       at.group,
		Head:        at.head,
		FreePermits: free,
		InFlight:    inFlight,
		Bound:       at.share.Bound,
		HasTrial:    p.targets.trials[at.target] > 0,
		Unhealthy:   p.targets.dead(at.head) || p.targets.avoided(at.head),
	}
	if h := p.targets.loads[at.head.Host]; h != nil && h.incarnation == at.head.Incarnation {
		c.Load, c.SentSince = h.load, h.sent
	}
	for _, m := range at.group.Members {
		c.Unhealthy = c.Unhealthy || !p.config.Health.MemberOK(m, at.group)
	}
	return c
}

// room is what this gate may run of the model group, and what it runs.
func (ch *chooser) room() admission.Capacity {
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

// mayGrant tells whether looking at a call can lead to a grant.
func (ch *chooser) mayGrant() bool {
	if !ch.local {
		return true
	}
	for i := range ch.candidates {
		if ch.candidates[i].FreePermits > 0 {
			return true
		}
	}
	return false
}

// grant finds a place for a call and takes the permit.
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
		Excluded:      c.excludedTargets(),
	}
	ch.hint(c)
	choice := p.router.Choose(&r, ch.candidates, xxhash.Sum64String(c.id))
	if choice.Index < 0 {
		if ch.local && choice.Reason == (routing.PermitFree{}).Name() {
			return grant{}, false
		}
		return ch.elsewhere(c)
	}
	at := ch.places[choice.Index]
	permit, ok := p.config.Permits.TryAcquire(at.target, at.head.Incarnation)
	if !ok {
		ch.candidates[choice.Index].FreePermits = 0
		return grant{}, false
	}
	ch.candidates[choice.Index].FreePermits--
	ch.candidates[choice.Index].InFlight++
	ch.candidates[choice.Index].SentSince++
	p.sent(c, &at)
	return grant{permit: permit, place: at}, true
}

// elsewhere hands a call over, or tells the gate that handed it over that
// there is nothing for it here.
func (ch *chooser) elsewhere(c *call) (grant, bool) {
	if c.hop != "" && !ch.local {
		return grant{refusal: refuseNoUpstream()}, true
	}
	return ch.handOver(c)
}

// hint fills in where the prompt may be cached.
func (ch *chooser) hint(c *call) {
	if len(c.blocks) == 0 {
		return
	}
	t := ch.queue.proxy.targets
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range ch.candidates {
		h := ch.candidates[i].Head
		ch.candidates[i].PrefixHits = t.hints.Hits(h.Host, h.Incarnation, c.blocks)
	}
}

func (p *Proxy) sent(c *call, at *place) {
	p.targets.sent(at.head, c.blocks)
	if c.isolated {
		p.targets.trial(at.target, 1)
	}
}
