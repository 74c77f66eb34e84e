package ledger

import (
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// opKind is what a request did to its key, as far as it shows.
type opKind int

const (
	opExecute   opKind = iota // it ran
	opTold                    // it was told that the key ran
	opNeverRan                // it was told that no attempt of the key ran
	opNoTrace                 // nothing can be concluded from it
	notExecuted = 0           // state of a key before its execution
	endOfTime   = math.MaxInt64
)

// keyOp is the input of one operation of the model.
type keyOp struct {
	kind   opKind
	serial int
}

// keyModel is a key as a register that is written once: its state is the
// serial number of its execution.
var keyModel = porcupine.Model{
	Init: func() any { return notExecuted },
	Step: func(state, input, _ any) (bool, any) {
		serial, op := state.(int), input.(keyOp)
		switch op.kind {
		case opExecute:
			return serial == notExecuted, op.serial
		case opTold:
			return serial == op.serial, serial
		case opNeverRan:
			return serial == notExecuted, serial
		}
		return true, state
	},
}

// ordered tells whether the requests of a key can be put in one order that
// agrees with their times and with what they were told.
func (h *history) ordered() bool {
	var ops []porcupine.Operation
	for n, e := range h.entries {
		op := h.op(e)
		if op.kind == opNoTrace {
			continue
		}
		end := int64(endOfTime)
		if e.Answered() && (op.kind != opExecute || e.Outcome == outcome.Ran) {
			end = e.Returned.UnixNano()
		}
		ops = append(ops, porcupine.Operation{ClientId: n, Input: op, Call: e.Sent.UnixNano(), Return: end})
	}
	return porcupine.CheckOperations(keyModel, ops)
}

// op derives what a request did to its key. A request that ran without being
// told so may have run at any later time.
func (h *history) op(e Entry) keyOp {
	if x, ran := h.execution(e.Request); ran {
		return keyOp{kind: opExecute, serial: x.Serial}
	}
	if e.Done() {
		for _, x := range h.executions {
			if x.Answer == e.Body {
				return keyOp{kind: opTold, serial: x.Serial}
			}
		}
	}
	if e.Outcome == outcome.NotRun && e.Reason == outcome.ReasonUpstreamFailed {
		return keyOp{kind: opNeverRan}
	}
	return keyOp{kind: opNoTrace}
}
