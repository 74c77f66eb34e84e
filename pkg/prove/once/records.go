package once

import (
	"context"
	"time"

	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/prove/recordlog"
)

const (
	logDelay      = 2 * time.Millisecond   // duration of an operation
	recordTimeout = 2 * time.Second        // timeout of a gate for an operation
	lostCallTime  = 500 * time.Millisecond // until a caller notices a lost request or reply
	lateDelivery  = 4 * time.Second        // delay of a late delivery
	outageTime    = 8 * time.Second
	logFaultCount = 3 // number of operations that a fault of the records affects
)

// records is a gate's access to the replicated records.
type records struct {
	gate *gate
}

// Intend implements serviceproxy.Records.
func (r records) Intend(ctx context.Context, i machine.Intent) (machine.Decision, error) {
	r.gate.injectAt(beforeIntent)
	out, err := r.call(ctx, opIntent, recordlog.Command{Intend: &i})
	if err == nil && out.Decision.Kind == machine.Run {
		r.gate.injectAt(afterIntent)
	}
	if r.gate.isDead() {
		return machine.Decision{}, errProcessDead
	}
	return out.Decision, err
}

// Conclude implements serviceproxy.Records.
func (r records) Conclude(ctx context.Context, c machine.Conclusion) error {
	r.gate.injectAt(beforeConclusion)
	_, err := r.call(ctx, opConclusion, recordlog.Command{Conclude: &c})
	if err == nil {
		r.gate.injectAt(afterConclusion)
	}
	if r.gate.isDead() {
		return errProcessDead
	}
	return err
}

// call proposes a command to the log, or fails as planned.
func (r records) call(ctx context.Context, op logOp, c recordlog.Command) (recordlog.Result, error) {
	time.Sleep(logDelay)
	if r.gate.isDead() {
		return recordlog.Result{}, errProcessDead
	}
	w := r.gate.world
	c.At = now()
	switch w.nextLogFault(op) {
	case logRefused, logOutage:
		return recordlog.Result{}, machine.ErrNotRecorded
	case logLostRequest:
		time.Sleep(lostCallTime)
		return recordlog.Result{}, machine.ErrRecordUnknown
	case logLostReply:
		_, _ = w.log.Propose(ctx, c)
		time.Sleep(lostCallTime)
		return recordlog.Result{}, machine.ErrRecordUnknown
	case logLate:
		w.later(lateDelivery, func() { _, _ = w.log.Propose(context.Background(), c) })
		time.Sleep(lostCallTime)
		return recordlog.Result{}, machine.ErrRecordUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return w.log.Propose(ctx, c)
}
