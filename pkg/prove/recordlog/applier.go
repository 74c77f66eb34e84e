package recordlog

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/once"
)

// Applier applies commands to a once-only machine. It is a replica.Applier.
type Applier struct {
	machine *once.Machine
}

// NewApplier returns an applier whose machine has the services of a set in force.
func NewApplier(o once.Options, set object.Set) *Applier {
	m := once.NewMachine(o)
	m.Publish(set)
	return &Applier{machine: m}
}

// Apply implements replica.Applier. The result is a Result.
func (a *Applier) Apply(_ uint64, b []byte) any {
	var c Command
	if err := msgpack.Unmarshal(b, &c); err != nil {
		panic(err)
	}
	return a.Execute(c)
}

// Execute executes a command.
func (a *Applier) Execute(c Command) Result {
	var r Result
	switch {
	case c.Intend != nil:
		r.Decision = a.machine.Intend(c.At, *c.Intend)
	case c.Conclude != nil:
		r.Settled = a.machine.Conclude(c.At, *c.Conclude)
	case c.GateGone != nil:
		a.machine.GateGone(c.At, c.GateGone.Gate, c.GateGone.Incarnation)
	case c.Tick:
		a.machine.Tick(c.At)
	}
	return r
}

// Snapshot implements replica.Applier.
func (a *Applier) Snapshot() ([]byte, error) { return a.machine.Snapshot() }

// Restore implements replica.Applier.
func (a *Applier) Restore(b []byte) error { return a.machine.Restore(b) }
