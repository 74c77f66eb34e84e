package wal

import "github.com/sesamemux/sesamemux/pkg/raft"

// State is the content of a store when it was opened.
type State struct {
	Identity  Identity
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry // in order, following the snapshot
	Marks     []raft.Watermark

	// stale is set while the entries read conflict with the snapshot: it was received from a
	// leader, and a crash prevented the reset of the log.
	stale bool
}

// applyRecord applies one record; records come in the order of writing. It reports whether the
// record continues the state without a gap.
func (s *State) applyRecord(r record) bool {
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

// applyEntry replaces all entries from this entry's index on. It reports false if entries before
// it are missing.
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
