package wal

import "github.com/sesamemux/sesamemux/pkg/raft"

// State is what a folder holds.
type State struct {
	Identity  Identity
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry // in order, behind the snapshot
	Marks     []raft.Watermark

	// stale is set while entries are read of a log that doesn't lead up to
	// the snapshot: it came from a leader, and the crash was before the reset.
	stale bool
}

// apply takes one record in the order of writing. It tells whether the record
// joins what is there.
func (s *State) apply(r record) bool {
	switch r.kind {
	case recordHardState:
		s.HardState = decodeHardState(r.payload)
	case recordMarks:
		s.Marks = decodeMarks(r.payload)
	case recordReset:
		s.Entries = nil
		s.stale = false
	case recordEntry:
		return s.applyEntry(decodeEntry(r.payload))
	}
	return true
}

// applyEntry replaces all entries from this one's index on.
func (s *State) applyEntry(e raft.Entry) bool {
	meta := s.Snapshot.Meta
	if e.Index <= meta.Index {
		s.Entries = nil
		s.stale = e.Index == meta.Index && e.Term != meta.Term
		return true
	}
	if s.stale {
		return true
	}
	first := meta.Index + 1
	if e.Index > first+uint64(len(s.Entries)) {
		return false
	}
	s.Entries = append(s.Entries[:e.Index-first], e)
	return true
}
