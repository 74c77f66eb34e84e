package entry

import (
	"context"
	"time"

	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// silentRunTime is how long an attempt lasts until its upstream is watched.
const silentRunTime = 600 * time.Millisecond

// bufferedAttempt is one attempt to answer a buffered request at an upstream. Its results are read
// only after run has returned.
type bufferedAttempt struct {
	placement *placement
	silentAt  time.Duration // from when another upstream may be tried beside it
	watchAt   time.Duration // from when its upstream is watched
	watched   bool
	ctx       context.Context
	cancel    context.CancelFunc
	resp      *upstream.Response // nil if there is none
	answer    *upstreamAnswer    // nil if err is set
	err       error
}

// newBufferedAttempt returns an attempt that lasts until the client leaves or the deadline of the
// request.
func newBufferedAttempt(c *call, p *placement) *bufferedAttempt {
	left := c.remaining()
	now := c.gateway.now()
	a := &bufferedAttempt{placement: p, silentAt: now + time.Duration(float64(left)*attemptTimeShare), watchAt: now + silentRunTime}
	a.ctx, a.cancel = context.WithTimeout(c.ctx, left)
	return a
}

// run sends the request and reads the answer, whose end is not confirmed yet. It does not change c.
func (a *bufferedAttempt) run(c *call) {
	a.resp, a.err = c.exchange(a.ctx, &a.placement.upstream, "")
	if a.err != nil {
		a.cancel()
		return
	}
	a.answer, a.err = c.fetchAnswer(a.placement, a.resp, a.ctx.Err, a.cancel)
}
