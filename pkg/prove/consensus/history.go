package consensus

import (
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rotisserie/eris"
)

type operationKind uint8

const (
	opRead operationKind = iota
	opSet
)

type input struct {
	kind operationKind
	key  int
	old  int
	new  int
}

type output struct {
	value   int
	set     bool
	unknown bool // may take effect at any time after the call
}

// history records the operations of all clients.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	known int
}

func newHistory() *history {
	return &history{start: time.Now()}
}

func (h *history) now() int64 {
	return int64(time.Since(h.start))
}

func (h *history) add(client int, in input, out output, called int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := h.now()
	if out.unknown {
		returned = math.MaxInt64
	} else {
		h.known++
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: called, Return: returned})
}

func (h *history) knownCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

// check returns an error unless some order of the operations explains what the
// clients observed.
func (h *history) check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !porcupine.CheckOperations(model(), h.ops) {
		return eris.Errorf("the history of %d operations is not linearizable", len(h.ops))
	}
	return nil
}

func model() porcupine.Model {
	return porcupine.Model{
		Partition: byKey,
		Init:      func() any { return 0 },
		Step:      step,
	}
}

func byKey(ops []porcupine.Operation) [][]porcupine.Operation {
	parts := make([][]porcupine.Operation, registerCount)
	for _, op := range ops {
		key := op.Input.(input).key
		parts[key] = append(parts[key], op)
	}
	return parts
}

func step(state, in, out any) (bool, any) {
	value, i, o := state.(int), in.(input), out.(output)
	if i.kind == opRead {
		return o.value == value, value
	}
	match := value == i.old
	if !o.unknown && o.set != match {
		return false, value
	}
	if match {
		return true, i.new
	}
	return true, value
}
