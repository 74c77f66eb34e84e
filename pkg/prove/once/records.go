package once

import (
	"context"
	"time"

	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/prove/recordlog"
)

const (
	logDelay    = 2 * time.Millisecond   // of one operation
	recordTime  = 2 * time.Second        // that a gate gives one operation
	lostTime    = 500 * time.Millisecond // until a caller of the records gives up
	lateTime    = 4 * time.Second        // of a late delivery
	outageTime  = 8 * time.Second
	strikeCount = 3 // operations that a fault of the records strikes
)

// records is one gate's way to the replicated records.
type records struct {
	gate *gate
}

// Intend implements serviceproxy.Records.
func (r records) Intend(ctx context.Context, i machine.Intent) (machine.Decision, error) {
	r.gate.strikeAt(beforeIntent)
	out, err := r.call(ctx, opIntent, recordlog.Command{Intend: &i})
	if err == nil && out.Decision.Kind == machine.Run {
		r.gate.strikeAt(afterIntent)
	}
	if r.gate.isDead() {
		return machine.Decision{}, errDead
	}
	return out.Decision, err
}

// Conclude implements serviceproxy.Records.
func (r records) Conclude(ctx context.Context, c machine.Conclusion) error {
	r.gate.strikeAt(beforeConclusion)
	_, err := r.call(ctx, opConclusion, recordlog.Command{Conclude: &c})
	if err == nil {
		r.gate.strikeAt(afterConclusion)
	}
	if r.gate.isDead() {
		return errDead
	}
	return err
}

// call carries a command to the log and fails as ordered.
func (r records) call(ctx context.Context, op logOp, c recordlog.Command) (recordlog.Result, error) {
	time.Sleep(logDelay)
	if r.gate.isDead() {
		return recordlog.Result{}, errDead
	}
	w := r.gate.world
	c.At = now()
	switch w.nextLogFault(op) {
	case logRefused, logOutage:
		return recordlog.Result{}, machine.ErrNotRecorded
	case logLostRequest:
		time.Sleep(lostTime)
		return recordlog.Result{}, machine.ErrRecordUnknown
	case logLostReply:
		_, _ = w.log.Propose(ctx, c)
		time.Sleep(lostTime)
		return recordlog.Result{}, machine.ErrRecordUnknown
	case logLate:
		w.later(lateTime, func() { _, _ = w.log.Propose(context.Background(), c) })
		time.Sleep(lostTime)
		return recordlog.Result{}, machine.ErrRecordUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, recordTime)
	defer cancel()
	return w.log.Propose(ctx, c)
}
