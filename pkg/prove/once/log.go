package once

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemux/sesamemux/pkg/object"
	machine "github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/prove/recordlog"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// recordLog orders commands and applies them.
type recordLog interface {
	Propose(ctx context.Context, c recordlog.Command) (recordlog.Result, error)
	Close() error
}

func now() view.Time { return view.Time(time.Now().UnixNano()) }

// memoryLog is an in-memory log that applies commands in the order of their arrival.
type memoryLog struct {
	mu          sync.Mutex
	options     machine.Options
	set         object.Set
	applier     *recordlog.Applier
	restoreEach bool // the machine is restored from its snapshot before each command
}

func newMemoryLog(o machine.Options, set object.Set, restarts bool) *memoryLog {
	return &memoryLog{options: o, set: set, applier: recordlog.NewApplier(o, set), restoreEach: restarts}
}

// Propose implements recordLog.
func (s *memoryLog) Propose(_ context.Context, c recordlog.Command) (recordlog.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restoreEach {
		s.restart()
	}
	return s.applier.Execute(c), nil
}

// restart replaces the machine by one restored from its snapshot.
func (s *memoryLog) restart() {
	b, err := s.applier.Snapshot()
	if err != nil {
		panic(err)
	}
	a := recordlog.NewApplier(s.options, s.set)
	if err := a.Restore(b); err != nil {
		panic(err)
	}
	s.applier = a
}

// Close implements recordLog.
func (s *memoryLog) Close() error { return nil }
