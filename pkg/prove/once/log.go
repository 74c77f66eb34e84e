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

// sequence is a log reduced to the order in which commands are applied.
type sequence struct {
	mu       sync.Mutex
	options  machine.Options
	set      object.Set
	applier  *recordlog.Applier
	restarts bool // it is restored from its snapshot at each command
}

func newSequence(o machine.Options, set object.Set, restarts bool) *sequence {
	return &sequence{options: o, set: set, applier: recordlog.NewApplier(o, set), restarts: restarts}
}

// Propose implements recordLog.
func (s *sequence) Propose(_ context.Context, c recordlog.Command) (recordlog.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restarts {
		s.restart()
	}
	return s.applier.Execute(c), nil
}

// restart replaces the machine by one restored from its snapshot.
func (s *sequence) restart() {
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
func (s *sequence) Close() error { return nil }
