package entry

import (
	"context"
	"time"
)

// attemptLimit bounds a buffered attempt: by the deadline of its request and, while another upstream
// could still be tried, by a share of the remaining time.
type attemptLimit struct {
	ctx    context.Context
	cancel context.CancelFunc
	share  *time.Timer // ends the attempt early; nil if only the deadline bounds it
}

// limitAttempt starts the limit of an attempt. The caller must call its cancel.
func (c *call) limitAttempt() *attemptLimit {
	l := &attemptLimit{}
	left := c.remaining()
	l.ctx, l.cancel = context.WithTimeout(c.ctx, left)
	if c.route.Retryable() && c.possibleExecutions+1 < c.route.MaxAttempts {
		l.share = time.AfterFunc(time.Duration(float64(left)*attemptTimeShare), l.cancel)
	}
	return l
}

// lift leaves only the deadline as a bound: an answer that is being forwarded can't be replaced. It
// returns the error of an attempt that has already ended.
func (l *attemptLimit) lift() error {
	if l.share != nil {
		l.share.Stop()
	}
	return l.ctx.Err()
}
