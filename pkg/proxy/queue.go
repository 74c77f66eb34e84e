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

// queue holds the waiting calls of one model group.
type queue struct {
	proxy      *Proxy
	modelGroup string

	mu         sync.Mutex
	flow       *admission.Scheduler
	waiting    map[uint64]*call
	handedOver int // calls handed over to a peer and not yet ended
}

func (p *Proxy) queue(modelGroup string) *queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[modelGroup]
	if q == nil {
		q = &queue{
			proxy:      p,
			modelGroup: modelGroup,
			flow:       admission.NewScheduler(admission.Options{DefaultServiceTime: p.options.InitialTokenTime, MaxWait: p.options.MaxQueueWait, Unsafe: p.options.Unsafe.Admission}),
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

func (p *Proxy) dispatchAll() {
	for _, q := range p.allQueues() {
		q.dispatch()
	}
}

// wait queues a call until it gets a grant or is refused, or until ctx ends. If a grant
// arrives at the same time as ctx ends, its permit is released.
func (q *queue) wait(ctx context.Context, c *call) grant {
	if r := q.enqueue(c); r != nil {
		return grant{refusal: r}
	}
	q.dispatch()
	select {
	case g := <-c.grants:
		return g
	case <-ctx.Done():
	}
	if q.remove(c) {
		return grant{refusal: refuseForContext(ctx)}
	}
	g := <-c.grants
	if g.refusal == nil {
		q.callEnded(c)
	}
	if g.permit != nil {
		q.releasePermit(g.permit, permit.EndInconclusive)
	}
	return grant{refusal: refuseForContext(ctx)}
}

func refuseForContext(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return refuseDeadline()
	}
	return refuseCallerGone()
}

func (q *queue) enqueue(c *call) *refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	err := q.flow.Enqueue(q.proxy.now(), c.toTicket(q.proxy))
	var rejected *admission.RejectError
	switch {
	case err == nil:
		q.waiting[c.ticket] = c
		return nil
	case errors.As(err, &rejected) && rejected.Reason != admission.ReasonDeadline:
		return refuseOverloaded(rejected.RetryAfter)
	case errors.As(err, &rejected):
		return refuseDeadline().withRetryAfter(rejected.RetryAfter)
	default:
		return refuseOverloaded(admission.MinRetryAfter)
	}
}

// remove removes a call from the queue. If it returns false, a grant was already delivered
// to the call's channel.
func (q *queue) remove(c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, c.ticket)
	return q.flow.Remove(c.ticket)
}

// dispatch grants as many queued calls as there is room for, in fair order, and refuses
// those whose deadline can't be met or, without a lease, all of them.
func (q *queue) dispatch() {
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
		q.deliver(t.ID, grant{refusal: refuseDeadline().withRetryAfter(q.flow.RetryAfter(t.Organisation))})
	}
	ch := q.newChooser()
	q.flow.SetCapacity(ch.localRoom())
	for ch.mayGrant() {
		var g grant
		t, ok := q.flow.Next(now, func(t admission.Request) bool {
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

// callEnded records that a granted call has ended.
func (q *queue) callEnded(c *call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flow.RequestEnded(c.toTicket(q.proxy))
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

// releasePermit releases a permit and dispatches calls that wait for one.
func (q *queue) releasePermit(p *permit.Permit, end permit.End) {
	p.Release(end)
	q.dispatch()
}

// recordServiceTime records how long a call took to serve.
func (q *queue) recordServiceTime(c *call, d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flow.RecordServiceTime(c.toTicket(q.proxy), d)
}

func (q *queue) addHandedOver(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.handedOver += n
}

// demand returns the number of calls that this gate would run itself if it had more
// permits: those short of permits and those handed over.
func (q *queue) demand() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.flow.WaitingForCapacity() + q.handedOver
}

// Uses returns this gate's running calls and demand for each target, for the keepers.
func (p *Proxy) Uses() []view.TargetUse {
	p.updateDemand()
	return p.config.Permits.Usage()
}

// updateDemand distributes the demand of each queue over the targets of its model group.
func (p *Proxy) updateDemand() {
	x := p.index.Load()
	for _, q := range p.allQueues() {
		destinations := x.models[q.modelGroup]
		if len(destinations) == 0 {
			continue
		}
		for i, n := range permit.DivideEvenly(q.demand(), len(destinations)) {
			p.config.Permits.SetQueued(destinations[i].target, destinations[i].head.Incarnation, n)
		}
	}
}
