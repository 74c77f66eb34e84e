package once

import (
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/object"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// replicated is the replicated log with its machine, reduced to the order in
// which commands are applied.
type replicated struct {
	mu       sync.Mutex
	options  machine.Options
	machine  *machine.Machine
	restarts bool
}

func newReplicated(o machine.Options, set object.Set, restarts bool) *replicated {
	r := &replicated{options: o, machine: machine.NewMachine(o), restarts: restarts}
	r.machine.Tick(now())
	r.machine.Publish(set)
	return r
}

func now() view.Time { return view.Time(time.Now().UnixNano()) }

// apply carries out one command.
func (r *replicated) apply(command func(*machine.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restarts {
		r.restart()
	}
	command(r.machine)
}

// restart replaces the machine by one restored from its snapshot.
func (r *replicated) restart() {
	b, err := r.machine.Snapshot()
	if err != nil {
		panic(err)
	}
	m := machine.NewMachine(r.options)
	if err := m.Restore(b); err != nil {
		panic(err)
	}
	r.machine = m
}

func (r *replicated) tick() {
	r.apply(func(m *machine.Machine) { m.Tick(now()) })
}

func (r *replicated) gateGone(g view.GateName, inc view.Incarnation) {
	r.apply(func(m *machine.Machine) { m.GateGone(now(), g, inc) })
}
