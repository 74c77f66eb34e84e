package once

import (
	"context"
	"time"

	machine "github.com/sesamemux/sesamemux/pkg/once"
)

const (
	logDelay    = 2 * time.Millisecond   // of one operation
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
func (r records) Intend(_ context.Context, i machine.Intent) (machine.Decision, error) {
	var d machine.Decision
	r.gate.strikeAt(beforeIntent)
	err := r.call(opIntent, func(m *machine.Machine) { d = m.Intend(now(), i) })
	if err == nil && d.Kind == machine.Run {
		r.gate.strikeAt(afterIntent)
	}
	if r.gate.isDead() {
		return machine.Decision{}, errDead
	}
	return d, err
}

// Conclude implements serviceproxy.Records.
func (r records) Conclude(_ context.Context, c machine.Conclusion) error {
	r.gate.strikeAt(beforeConclusion)
	err := r.call(opConclusion, func(m *machine.Machine) { m.Conclude(now(), c) })
	if err == nil {
		r.gate.strikeAt(afterConclusion)
	}
	if r.gate.isDead() {
		return errDead
	}
	return err
}

// call carries a command to the log and fails as ordered.
func (r records) call(op logOp, command func(*machine.Machine)) error {
	time.Sleep(logDelay)
	if r.gate.isDead() {
		return errDead
	}
	w := r.gate.world
	switch w.nextLogFault(op) {
	case logRefused, logOutage:
		return machine.ErrNotRecorded
	case logLostRequest:
		time.Sleep(lostTime)
		return machine.ErrRecordUnknown
	case logLostReply:
		w.log.apply(command)
		time.Sleep(lostTime)
		return machine.ErrRecordUnknown
	case logLate:
		w.later(lateTime, func() { w.log.apply(command) })
		time.Sleep(lostTime)
		return machine.ErrRecordUnknown
	}
	w.log.apply(command)
	return nil
}
