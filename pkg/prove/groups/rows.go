package groups

import (
	"errors"
	"fmt"
	"time"

	"github.com/sesamemux/sesamemux/pkg/group"
	"github.com/sesamemux/sesamemux/pkg/prove"
)

const (
	faultDuration = 100 * time.Second
	recoveryBound = 4 * time.Minute
	// unguardedStep is the step at which rows also run without protection: there the
	// fault affects groups to which gates give work.
	unguardedStep = "while serving"
)

// Rows returns every fault at every step of a group's life.
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
	if f.unguarded != (group.Unsafe{}) && s.name == unguardedStep {
		r.Unguarded = scenario(f, s, f.unguarded)
	}
	return r
}

// scenario injects a fault at a step and then waits until all groups take work.
func scenario(f fault, s stage, unguarded group.Unsafe) prove.Scenario {
	return func(seed uint64) error {
		w := NewWorld(seed, unguarded)
		target, ok := s.await(w)
		if w.err != nil {
			return w.err
		}
		if !ok {
			return fmt.Errorf("no group reached the step %q", s.name)
		}
		f.inject(w, target)
		if err := w.Run(faultDuration); err != nil {
			return err
		}
		if f.heal != nil {
			f.heal(w)
		}
		w.enforceMinimum = false
		w.restartAll()
		if w.RunUntil(recoveryBound, w.allServing) {
			return w.Run(10 * time.Second)
		}
		return errors.Join(w.err, w.recoveryError())
	}
}

func (w *World) recoveryError() error {
	return fmt.Errorf("not all groups take work again: %+v %+v", w.machine.Stats(), w.machine.Groups())
}
