package consensus

import (
	"strings"

	"github.com/sesamemux/sesamemux/pkg/disk"
)

// killStep is a place on the way of a commit at which a process dies.
type killStep string

const (
	beforeWrite killStep = "before write"
	afterWrite  killStep = "after write"
	beforeSync  killStep = "before sync"
	afterSync   killStep = "after sync"
	beforeReply killStep = "before reply"
)

func killSteps() []killStep {
	return []killStep{beforeWrite, afterWrite, beforeSync, afterSync, beforeReply}
}

// arm lets a process die at a step of its next commit. then runs at that
// moment; it must not block.
func (p *process) arm(s killStep, then func()) {
	_, state, alive := p.instance()
	die := func() {
		alive.Store(false)
		then()
	}
	if s == beforeReply {
		state.mu.Lock()
		defer state.mu.Unlock()
		state.onSet = func() {
			if alive.Load() {
				die()
				go p.kill()
			}
		}
		return
	}
	op, fault := s.strike()
	if op == disk.OpSync && p.w.opts.unsafe.Log.NoSync {
		op, fault = disk.OpWrite, disk.CrashAfter // there is no sync to strike
	}
	p.disk.SetInjector(func(o disk.Operation, name string) disk.Fault {
		if o != op || !strings.HasSuffix(name, ".log") {
			return disk.NoFault
		}
		die()
		return fault
	})
}

func (s killStep) strike() (disk.Operation, disk.Fault) {
	switch s {
	case beforeWrite:
		return disk.OpWrite, disk.CrashBefore
	case afterWrite:
		return disk.OpWrite, disk.CrashAfter
	case beforeSync:
		return disk.OpSync, disk.CrashBefore
	default:
		return disk.OpSync, disk.CrashAfter
	}
}

// failLog lets all log operations of a kind fail until the process restarts.
func (p *process) failLog(op disk.Operation, fault disk.Fault) {
	p.disk.SetInjector(func(o disk.Operation, name string) disk.Fault {
		if o == op && strings.HasSuffix(name, ".log") {
			return fault
		}
		return disk.NoFault
	})
}
