package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

// bufferedAttempts are the attempts of a buffered request. A silent upstream may be lost or may go
// on, so its attempt is kept while another upstream is tried beside it. The first usable answer ends
// all other attempts. Only the request's own goroutine uses it and changes the call.
type bufferedAttempts struct {
	call    *call
	running []*bufferedAttempt // the oldest first
	done    chan *bufferedAttempt
	failure *upstreamAnswer // the last error answer that may be forwarded; nil if there is none
}

func newBufferedAttempts(c *call) *bufferedAttempts {
	return &bufferedAttempts{call: c, done: make(chan *bufferedAttempt, max(c.route.MaxAttempts, 1))}
}

// run tries an upstream, and others beside it while it is silent. It returns the answer to forward,
// or the error of the last attempt. No attempt runs any more when it returns.
func (r *bufferedAttempts) run(p *placement) (*upstreamAnswer, error) {
	r.start(p)
	timer := time.NewTimer(r.untilCheck())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			r.watchSilent()
			if newest := r.running[len(r.running)-1]; r.call.gateway.now() >= newest.silentAt {
				r.startAnother()
			}
		case a := <-r.done:
			err := r.settle(a)
			if err == nil {
				r.dropOthers()
				return a.answer, nil
			}
			if len(r.running) == 0 {
				return nil, err
			}
		}
		timer.Reset(r.untilCheck())
	}
}

func (r *bufferedAttempts) start(p *placement) {
	a := newBufferedAttempt(r.call, p)
	r.running = append(r.running, a)
	go func() {
		a.run(r.call)
		r.done <- a
	}()
}

// untilCheck returns the time until it is checked whether an attempt is watched, or another upstream tried.
func (r *bufferedAttempts) untilCheck() time.Duration {
	newest := r.running[len(r.running)-1]
	next := newest.silentAt
	if !newest.watched {
		next = min(next, newest.watchAt)
	}
	return max(next-r.call.gateway.now(), streamCheckInterval)
}

// watchSilent watches the upstreams of attempts that have been silent for a while: whether they end or have
// gone shows before the time of the request is over. A trial runs until then.
func (r *bufferedAttempts) watchSilent() {
	c := r.call
	for _, a := range r.running {
		if !a.watched && c.gateway.now() >= a.watchAt && c.trial == "" {
			a.watched = true
			c.watch(c.accusedRun(a.placement, ""))
		}
	}
}

// startAnother tries another upstream beside the silent ones if the request may be sent to it.
func (r *bufferedAttempts) startAnother() {
	c, g := r.call, r.call.gateway
	if !r.mayStartAnother() {
		return
	}
	req := placementRequest{service: c.service, tried: maps.Clone(c.tried)}
	for _, a := range r.running {
		req.tried[a.placement.upstream.ID] = true
	}
	p, _ := g.balancer.choose(g.now(), req)
	if p == nil {
		return
	}
	if !g.budget.spend(c.service.Name) {
		g.balancer.release(p)
		return
	}
	g.metrics.Retries.WithLabelValues(retryCause(errAbandoned)).Inc()
	r.start(p)
}

func (r *bufferedAttempts) mayStartAnother() bool {
	c := r.call
	return c.route.Retryable() && c.ctx.Err() == nil && c.remaining() >= minRetryTime &&
		c.possibleExecutions+len(r.running) < c.route.MaxAttempts && c.trial == "" &&
		c.gateway.budget.available(c.service.Name) && c.mayRunFreely()
}

// settle records the result of an attempt that has ended. It returns nil if its answer can be
// forwarded.
func (r *bufferedAttempts) settle(a *bufferedAttempt) error {
	c, p := r.call, a.placement
	c.recordExchange(p, a.resp, a.err)
	err := a.err
	if err == nil && a.answer.rest == nil {
		err = c.confirmEnd(p, a.resp)
	}
	r.release(a)
	if a.watched && !leftUnanswered(err) {
		c.gateway.runWatch.drop(c.accusedRun(p, ""))
	}
	if err != nil {
		c.recordUpstreamFailure(p, err)
		c.recordAbandonedAnswer(p, a.resp)
	} else {
		sound := a.answer.status < 500
		if a.answer.judged() {
			c.recordAnswer(a.answer)
		}
		if sound || c.route.Kind != catalog.Idempotent {
			return nil
		}
		r.failure.close()
		r.failure = a.answer
		err = eris.Errorf("upstream answered %d", a.answer.status)
	}
	c.recordFailedAttempt(err)
	if c.ctx.Err() == nil {
		c.inspectFailure(p, err)
	} else if c.clientGone() {
		c.leaveRun(p, err)
	}
	return err
}

// release removes an attempt that has ended from those that run.
func (r *bufferedAttempts) release(a *bufferedAttempt) {
	r.running = slices.DeleteFunc(r.running, func(other *bufferedAttempt) bool { return other == a })
	r.call.gateway.balancer.release(a.placement)
}

// dropOthers ends the attempts that still run beside the one whose answer is forwarded.
func (r *bufferedAttempts) dropOthers() {
	c := r.call
	upstream, born, framed, began := c.upstream, c.upstreamBorn, c.framed, c.runBegan
	for len(r.done) > 0 {
		r.discard(<-r.done)
	}
	for _, a := range r.running {
		a.cancel()
	}
	for len(r.running) > 0 {
		r.discardDropped(<-r.done)
	}
	c.upstream, c.upstreamBorn, c.framed, c.runBegan = upstream, born, framed, began
}

// discardDropped records an attempt that was dropped while it ran. One that had not been silent for
// long is not held against its upstream.
func (r *bufferedAttempts) discardDropped(a *bufferedAttempt) {
	c := r.call
	if a.err == nil || c.gateway.now() >= a.silentAt {
		r.discard(a)
		return
	}
	c.recordExchange(a.placement, a.resp, a.err)
	r.release(a)
	if !provesNotRun(a.err) {
		c.possibleExecutions++
		c.watchAbandoned(a.placement)
	}
}

// discard records an attempt that has ended and whose answer is not needed.
func (r *bufferedAttempts) discard(a *bufferedAttempt) {
	if r.settle(a) == nil {
		a.answer.close()
		r.call.possibleExecutions++
	}
}
