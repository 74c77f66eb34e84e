package ledger

import (
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// opKind is the observable effect of a request on its key.
type opKind int

const (
	opExecute        opKind = iota // the request was executed
	opObservedRan                  // the reply says that the key was executed
	opObservedNotRun               // the reply says that no attempt of the key was executed
	opInconclusive                 // the reply says nothing about the key
	notExecuted      = 0           // state of a key before its execution
	noReturn         = math.MaxInt64
)

// keyOp is the input of one operation on the model.
type keyOp struct {
	kind   opKind
	serial int
}

// writeOnceModel models a key as a write-once register whose value is the serial
// number of its execution.
var writeOnceModel = porcupine.Model{
	Init: func() any { return notExecuted },
	Step: func(state, input, _ any) (bool, any) {
		serial, op := state.(int), input.(keyOp)
		switch op.kind {
		case opExecute:
			return serial == notExecuted, op.serial
		case opObservedRan:
			return serial == op.serial, serial
		case opObservedNotRun:
			return serial == notExecuted, serial
		}
		return true, state
	},
}

// linearisable reports whether the requests of a key can be ordered so that the
// order agrees with their times and with their replies.
func (h *history) linearisable() bool {
	var ops []porcupine.Operation
	for n, e := range h.entries {
		op := h.operation(e)
		if op.kind == opInconclusive {
			continue
		}
		end := int64(noReturn)
		if e.Answered() && (op.kind != opExecute || e.Outcome == outcome.Ran) {
			end = e.Returned.UnixNano()
		}
		ops = append(ops, porcupine.Operation{ClientId: n, Input: op, Call: e.Sent.UnixNano(), Return: end})
	}
	return porcupine.CheckOperations(writeOnceModel, ops)
}

// operation derives the effect of a request on its key. A request that was executed
// but whose reply does not say so may have run at any time after it was sent.
func (h *history) operation(e Entry) keyOp {
	if x, ran := h.execution(e.Request); ran {
		return keyOp{kind: opExecute, serial: x.Serial}
	}
	if e.Done() {
		for _, x := range h.executions {
			if x.Answer == e.Body {
				return keyOp{kind: opObservedRan, serial: x.Serial}
			}
		}
	}
	if e.Outcome == outcome.NotRun && e.Reason == outcome.ReasonUpstreamFailed {
		return keyOp{kind: opObservedNotRun}
	}
	return keyOp{kind: opInconclusive}
}
