package state

import (
	"sync"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Store is a State that one goroutine changes and others read. It implements
// replica.Applier.
type Store struct {
	mu      sync.RWMutex
	state   *State
	changed chan struct{} // closed and replaced at each new revision

	deltaMu  sync.Mutex
	deltasAt view.Revision                 // end revision of the cached deltas
	deltas   map[view.Revision]*view.Delta // cached deltas by start revision
}

// NewStore returns a store with the state before the first command.
func NewStore() *Store {
	return &Store{state: New(), changed: make(chan struct{})}
}

// Encode returns the encoded form of a command for the log.
func Encode(c Command) ([]byte, error) {
	b, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	return b, nil
}

// Apply implements replica.Applier; it returns a Result.
func (s *Store) Apply(_ uint64, command []byte) any {
	var c Command
	if err := msgpack.Unmarshal(command, &c); err != nil {
		// Every replica gets the same bytes, so all of them fail in the same way.
		return Result{Err: eris.Wrap(err, "decode command")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Revision()
	r := s.state.Apply(c)
	if r.Revision != before {
		s.notifyChanged()
	}
	return r
}

// notifyChanged wakes readers that wait for a new revision.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot implements replica.Applier.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Snapshot()
}

// Restore implements replica.Applier.
func (s *Store) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.state.Restore(snapshot); err != nil {
		return err
	}
	s.notifyChanged()
	return nil
}

// Read calls f with the state. f must not modify or retain it.
func (s *Store) Read(f func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Delta returns the changes from a revision to the one in force. Gates at the same
// revision share one delta and its encoded form, so callers must not modify it.
func (s *Store) Delta(from view.Revision) *view.Delta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	s.deltaMu.Lock()
	defer s.deltaMu.Unlock()
	if at := s.state.Revision(); s.deltas == nil || s.deltasAt != at {
		s.deltasAt = at
		s.deltas = make(map[view.Revision]*view.Delta)
	}
	d, ok := s.deltas[from]
	if !ok {
		d = s.state.Delta(from)
		s.deltas[from] = d
	}
	return d
}

// Changed returns a channel that is closed at the next new revision.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}
