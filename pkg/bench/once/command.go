package once

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/object"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// command is one entry of the log.
type command struct {
	At       view.Time
	Intend   *machine.Intent     `msgpack:",omitempty"`
	Conclude *machine.Conclusion `msgpack:",omitempty"`
}

func newCommand() command { return command{At: view.Time(time.Now().UnixNano())} }

// applier applies commands to a machine.
type applier struct {
	machine *machine.Machine
}

func newApplier() *applier {
	m := machine.NewMachine(machine.Options{})
	m.Publish(object.Set{Services: []object.Service{measured()}})
	return &applier{machine: m}
}

// Apply implements replica.Applier.
func (a *applier) Apply(_ uint64, b []byte) any {
	var c command
	if err := msgpack.Unmarshal(b, &c); err != nil {
		return err
	}
	return a.apply(c)
}

func (a *applier) apply(c command) any {
	if c.Intend != nil {
		return a.machine.Intend(c.At, *c.Intend)
	}
	return a.machine.Conclude(c.At, *c.Conclude)
}

// Snapshot implements replica.Applier.
func (a *applier) Snapshot() ([]byte, error) { return a.machine.Snapshot() }

// Restore implements replica.Applier.
func (a *applier) Restore(b []byte) error { return a.machine.Restore(b) }
