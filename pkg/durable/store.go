package durable

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/quarantine"
)

// maxDepartures limits the departures kept; the processes of older ones have long
// ended.
const maxDepartures = 512

// State is the complete replicated state. Its slices are read-only.
type State struct {
	Index      uint64      `json:"index"` // log index of the last command that changed the state
	Document   *Document   `json:"document,omitempty"`
	Evacuated  []string    `json:"evacuated,omitempty"` // sorted
	Departures []Departure `json:"departures,omitempty"`
	// Quarantine holds the requests that may no longer run freely.
	Quarantine quarantine.List `json:"quarantine,omitempty"`
}

// Store holds the state and applies commands. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	state   State
	changed chan struct{} // closed at the next change
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// State returns the current state and a channel that is closed when it changes.
func (s *Store) State() (State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.changed
}

// Apply implements replica.Applier. The result is nil, or the error for which the
// command was refused.
func (s *Store) Apply(index uint64, command []byte) any {
	var c Command
	if err := json.Unmarshal(command, &c); err != nil {
		return eris.Wrap(err, "decode command from the log")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.state
	changed, err := next.apply(c)
	if changed {
		next.Index = index
		s.set(next)
	}
	if err != nil {
		return err
	}
	return nil
}

func (s *Store) set(next State) {
	s.state = next
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply applies a command to st, a copy of the state. It reports whether it changed
// anything, and the error for which a part was refused.
func (st *State) apply(c Command) (bool, error) {
	switch {
	case len(c.Quarantine) > 0:
		var err error
		st.Quarantine, err = st.Quarantine.Apply(c.Quarantine)
		return true, err
	case c.Document != nil:
		if st.Document != nil && c.Document.Version <= st.Document.Version {
			return false, nil
		}
		st.Document = c.Document
		return true, nil
	case c.Evacuate != "":
		i, found := slices.BinarySearch(st.Evacuated, c.Evacuate)
		if found {
			return false, nil
		}
		st.Evacuated = slices.Insert(slices.Clone(st.Evacuated), i, c.Evacuate)
		return true, nil
	case c.Restore != "":
		i, found := slices.BinarySearch(st.Evacuated, c.Restore)
		if !found {
			return false, nil
		}
		st.Evacuated = slices.Delete(slices.Clone(st.Evacuated), i, i+1)
		return true, nil
	}
	return st.depart(c.Depart), nil
}

func (st *State) depart(ds []Departure) bool {
	changed := false
	next := slices.Clone(st.Departures)
	for _, d := range ds {
		i := slices.IndexFunc(next, func(k Departure) bool { return k.ID == d.ID && k.StartedMS == d.StartedMS })
		switch {
		case i < 0:
			next = append(next, d)
		case d.Gone && !next[i].Gone:
			next[i].Gone = true
		default:
			continue
		}
		changed = true
	}
	if len(next) > maxDepartures {
		next = next[len(next)-maxDepartures:]
	}
	st.Departures = next
	return changed
}

// Snapshot implements replica.Applier.
func (s *Store) Snapshot() ([]byte, error) {
	st, _ := s.State()
	b, err := json.Marshal(st)
	return b, eris.Wrap(err, "encode state")
}

// Restore implements replica.Applier.
func (s *Store) Restore(snapshot []byte) error {
	var st State
	if err := json.Unmarshal(snapshot, &st); err != nil {
		return eris.Wrap(err, "decode state")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(st)
	return nil
}
