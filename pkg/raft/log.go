package raft

// entryLog holds the entries after baseIndex in memory.
// Invariant: delivered <= committed <= last, and persisted <= last.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	committed uint64
	persisted uint64
	delivered uint64 // passed to the state machine
}

func (l *entryLog) last() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry, if the entry is in the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a candidate's log is at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// slice returns the entries from..to limited by size, but at least one if there is
// any.
func (l *entryLog) slice(from, to uint64, maxBytes int) []Entry {
	to = min(to, l.last())
	if from > to || from <= l.baseIndex {
		return nil
	}
	part := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	size := 0
	for i := range part {
		size += part[i].size()
		if i > 0 && size > maxBytes {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

func (l *entryLog) append(es ...Entry) {
	l.entries = append(l.entries, es...)
}

// truncateFrom removes the entries from index on. They must not be committed.
func (l *entryLog) truncateFrom(index uint64) {
	if index <= l.committed {
		panic("raft: attempt to truncate a committed entry")
	}
	keep := index - l.baseIndex - 1
	l.entries = append([]Entry(nil), l.entries[:keep]...)
	l.persisted = min(l.persisted, index-1)
}

// compactionIndex returns the index up to which entries may be dropped when a
// snapshot covers index. A tail limited in entries and bytes is kept.
func (l *entryLog) compactionIndex(index, maxEntries uint64, maxBytes int) uint64 {
	size := 0
	for kept := uint64(0); index > l.baseIndex && kept < maxEntries; kept++ {
		size += l.entries[index-l.baseIndex-1].size()
		if size > maxBytes {
			break
		}
		index--
	}
	return index
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, ok := l.term(index)
	if !ok {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex = index
	l.baseTerm = term
}

// reset replaces the log by an empty one after a snapshot.
func (l *entryLog) reset(meta SnapshotMeta) {
	*l = entryLog{
		baseIndex: meta.Index,
		baseTerm:  meta.Term,
		committed: meta.Index,
		persisted: meta.Index,
		delivered: meta.Index,
	}
}
