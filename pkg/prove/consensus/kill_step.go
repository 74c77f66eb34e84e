package consensus

import (
	"strings"

	"github.com/sesamemux/sesamemux/pkg/disk"
)

// killStep is a step of a commit at which a process is killed.
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

// armKill makes a process die at a step of its next commit and calls then at that
// moment. then must not block.
func (p *process) armKill(s killStep, then func()) {
	_, state, alive := p.instance()
	die := func() {
		alive.Store(false)
		then()
	}
	if s == beforeReply {
		state.mu.Lock()
		defer state.mu.Unlock()
		state.beforeApply = func() {
			if alive.Load() {
				die()
				go p.kill()
			}
		}
		return
	}
	op, fault := s.diskFault()
	if op == disk.OpSync && p.w.opts.unsafe.Log.NoSync {
		op, fault = disk.OpWrite, disk.CrashAfter // syncs are switched off
	}
	p.disk.SetInjector(func(o disk.Operation, name string) disk.Fault {
		if o != op || !strings.HasSuffix(name, ".log") {
			return disk.NoFault
		}
		die()
		return fault
	})
}

func (s killStep) diskFault() (disk.Operation, disk.Fault) {
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

// failLog makes all log operations of a kind fail until the process restarts.
func (p *process) failLog(op disk.Operation, fault disk.Fault) {
	p.disk.SetInjector(func(o disk.Operation, name string) disk.Fault {
		if o == op && strings.HasSuffix(name, ".log") {
			return fault
		}
		return disk.NoFault
	})
}
