package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/admission"
	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// queue holds the calls for one model group.
type queue struct {
	proxy      *Proxy
	modelGroup string

	mu      sync.Mutex
	flow    *admission.Flow
	waiting map[uint64]*call
	handed  int // calls that are at a peer
}

func (p *Proxy) queue(modelGroup string) *queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[modelGroup]
	if q == nil {
		q = &queue{
			proxy:      p,
			modelGroup: modelGroup,
			flow:       admission.NewFlow(admission.Options{DefaultService: p.options.InitialTokenTime, MaxWait: p.options.MaxQueueWait, Unguarded: p.options.Unsafe.Admission}),
			waiting:    make(map[uint64]*call),
		}
		p.queues[modelGroup] = q
	}
	return q
}

func (p *Proxy) allQueues() []*queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*queue, 0, len(p.queues))
	for _, q := range p.queues {
		list = append(list, q)
	}
	return list
}

func (p *Proxy) pumpAll() {
	for _, q := range p.allQueues() {
		q.pump()
	}
}

// wait queues a call until it may go somewhere or is given up.
func (q *queue) wait(ctx context.Context, c *call) grant {
	if r := q.offer(c); r != nil {
		return grant{refusal: r}
	}
	q.pump()
	select {
	case g := <-c.grants:
		return g
	case <-ctx.Done():
	}
	if q.remove(c) {
		return grant{refusal: givenUp(ctx)}
	}
	g := <-c.grants
	if g.refusal == nil {
		q.ended(c)
	}
	if g.permit != nil {
		q.giveBack(g.permit, permit.EndNotProven)
	}
	return grant{refusal: givenUp(ctx)}
}

func givenUp(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return refuseDeadline()
	}
	return refuseCallerGone()
}

func (q *queue) offer(c *call) *refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	err := q.flow.Offer(q.proxy.now(), c.toTicket(q.proxy))
	var rejected *admission.RejectError
	switch {
	case err == nil:
		q.waiting[c.ticket] = c
		return nil
	case errors.As(err, &rejected) && rejected.Reason != admission.ReasonDeadline:
		return refuseOverloaded(rejected.RetryAfter)
	case errors.As(err, &rejected):
		return refuseDeadline().after(rejected.RetryAfter)
	default:
		return refuseOverloaded(admission.MinRetryAfter)
	}
}

// remove takes a call out; on false a grant is in its channel.
func (q *queue) remove(c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, c.ticket)
	return q.flow.Remove(c.ticket)
}

// pump lets as many calls go as there is room for, in fair order.
func (q *queue) pump() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.flow.Len() == 0 {
		return
	}
	now := q.proxy.now()
	if !q.proxy.config.Lease.Valid() {
		q.refuseAll()
		return
	}
	for _, t := range q.flow.Expire(now) {
		q.deliver(t.ID, grant{refusal: refuseDeadline().after(q.flow.RetryAfter(t.Organisation))})
	}
	ch := q.newChooser()
	q.flow.SetRoom(ch.room())
	for ch.mayGrant() {
		var g grant
		t, ok := q.flow.Next(now, func(t admission.Ticket) bool {
			var fits bool
			g, fits = ch.grant(q.waiting[t.ID])
			return fits
		})
		if !ok {
			return
		}
		q.deliver(t.ID, g)
	}
}

// ended tells that a call with a grant runs here no more.
func (q *queue) ended(c *call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flow.Ended(c.toTicket(q.proxy))
}

func (q *queue) deliver(ticket uint64, g grant) {
	c := q.waiting[ticket]
	delete(q.waiting, ticket)
	c.grants <- g
}

func (q *queue) refuseAll() {
	for id := range q.waiting {
		q.flow.Remove(id)
		q.deliver(id, grant{refusal: refuseNoLease()})
	}
}

// giveBack returns a permit and lets others go.
func (q *queue) giveBack(p *permit.Permit, end permit.End) {
	p.Release(end)
	q.pump()
}

// finished notes the service time of a call.
func (q *queue) finished(c *call, d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flow.Finished(c.toTicket(q.proxy), d)
}

func (q *queue) countHanded(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.handed += n
}

// demand is the work that this gate would do itself if it had permits.
func (q *queue) demand() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.flow.Starved() + q.handed
}

// Uses tells this gate's work and demand on its targets, for the keepers.
func (p *Proxy) Uses() []view.TargetUse {
	p.noteDemand()
	return p.config.Permits.Uses()
}

// noteDemand tells the permits what waits for each target.
func (p *Proxy) noteDemand() {
	x := p.index.Load()
	for _, q := range p.allQueues() {
		places := x.models[q.modelGroup]
		if len(places) == 0 {
			continue
		}
		for i, n := range permit.Spread(q.demand(), len(places)) {
			p.config.Permits.SetQueued(places[i].target, places[i].head.Incarnation, n)
		}
	}
}
