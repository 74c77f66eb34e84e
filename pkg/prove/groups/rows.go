package groups

import (
	"errors"
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/prove"
)

const (
	afterStrike = 100 * time.Second
	healBound   = 4 * time.Minute
	// loosenedStep is the step at which rows are also played without the
	// mechanism: the fault strikes what gates believe in.
	loosenedStep = "while serving"
)

// Rows gives every fault at every step of a group's life.
func Rows() []prove.Row {
	var rows []prove.Row
	for _, f := range faults() {
		for _, s := range stages() {
			rows = append(rows, row(f, s))
		}
	}
	return rows
}

func row(f fault, s stage) prove.Row {
	r := prove.Row{
		Promise: f.promise,
		Area:    "groups",
		Fault:   f.name,
		Step:    s.name,
		Run:     scenario(f, s, group.Unsafe{}),
	}
	if f.loosened != (group.Unsafe{}) && s.name == loosenedStep {
		r.Unguarded = scenario(f, s, f.loosened)
	}
	return r
}

// scenario plays a fault at a step and then waits until all groups work.
func scenario(f fault, s stage, unguarded group.Unsafe) prove.Scenario {
	return func(seed uint64) error {
		w := NewWorld(seed, unguarded)
		target, ok := s.reach(w)
		if w.err != nil {
			return w.err
		}
		if !ok {
			return fmt.Errorf("no group came to the step %q", s.name)
		}
		f.strike(w, target)
		if err := w.Run(afterStrike); err != nil {
			return err
		}
		if f.heal != nil {
			f.heal(w)
		}
		w.minimum = false
		w.revive()
		if w.RunUntil(healBound, w.whole) {
			return w.Run(10 * time.Second)
		}
		return errors.Join(w.err, w.notWhole())
	}
}

func (w *World) notWhole() error {
	return fmt.Errorf("not all groups work again: %+v %+v", w.machine.Stats(), w.machine.Groups())
}
