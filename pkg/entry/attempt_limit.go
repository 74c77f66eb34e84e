package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/fleet"
)

// attemptLimit bounds a buffered attempt: by the deadline of its request and, while another upstream
// can be tried, by a share of the remaining time.
type attemptLimit struct {
	ctx    context.Context
	cancel context.CancelFunc
	call   *call
	others placementRequest // of the other upstreams

	mu     sync.Mutex
	share  *time.Timer // ends the attempt early; nil if only the deadline bounds it
	lifted bool
}

// limitAttempt starts the limit of an attempt on an upstream. The caller must end it.
func (c *call) limitAttempt(u *fleet.Upstream) *attemptLimit {
	l := &attemptLimit{call: c, others: placementRequest{service: c.service, tried: maps.Clone(c.tried)}}
	l.others.tried[u.ID] = true
	left := c.remaining()
	l.ctx, l.cancel = context.WithTimeout(c.ctx, left)
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.route.Retryable() && c.possibleExecutions+1 < c.route.MaxAttempts {
		l.share = time.AfterFunc(time.Duration(float64(left)*attemptTimeShare), l.check)
	}
	return l
}

// check ends the attempt if the request can go on elsewhere.
func (l *attemptLimit) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.call.gateway
	switch {
	case l.lifted || l.ctx.Err() != nil:
	case g.budget.available(l.call.service.Name) && g.balancer.hasAlternative(g.now(), l.others):
		l.cancel()
	default:
		l.share.Reset(streamCheckInterval)
	}
}

// lift leaves only the deadline as a bound: an answer that is being forwarded can't be replaced. It
// returns the error of an attempt that has already ended.
func (l *attemptLimit) lift() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lifted = true
	return l.ctx.Err()
}

// end ends the attempt.
func (l *attemptLimit) end() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.share != nil {
		l.share.Stop()
	}
}
