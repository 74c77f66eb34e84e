package wal

import (
	"errors"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// Log is an open folder. Its methods are for one goroutine, but SaveSnapshot
// may run beside the others.
type Log struct {
	fs       disk.FS
	dir      string
	opts     Options
	identity Identity
	lock     io.Closer

	file     disk.File
	sequence uint64 // of the open segment
	size     int    // bytes in it
	highest  uint64 // index in it
	closed   []closedSegment
	buf      []byte

	hardState raft.HardState
	marks     []raft.Watermark
	failed    error
}

// closedSegment is one that is no longer written.
type closedSegment struct {
	sequence uint64
	highest  uint64 // index
}

// Batch is what is written and synced at once.
type Batch struct {
	Reset     bool // a snapshot replaced the log before these entries
	Entries   []raft.Entry
	HardState *raft.HardState  // nil: unchanged
	Marks     []raft.Watermark // nil: unchanged
}

// Identity returns the identity on disk.
func (l *Log) Identity() Identity {
	return l.identity
}

// Close releases the folder. Nothing is synced.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	return errors.Join(err, l.lock.Close())
}

// Save writes a batch and syncs it.
func (l *Log) Save(b Batch) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.save(b); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failed = eris.Wrap(ErrFailed, err.Error())
	return l.failed
}

func (l *Log) save(b Batch) error {
	l.buf = l.buf[:0]
	if b.Reset {
		l.add(recordReset, nil)
	}
	if b.Marks != nil {
		l.marks = slices.Clone(b.Marks)
		l.add(recordMarks, encodeMarks(b.Marks))
	}
	if b.HardState != nil {
		l.hardState = *b.HardState
		l.add(recordHardState, encodeHardState(*b.HardState))
	}
	if err := l.addEntries(b.Entries); err != nil {
		return err
	}
	if err := l.flush(); err != nil {
		return err
	}
	if l.size >= l.opts.SegmentBytes {
		return l.roll()
	}
	return nil
}

func (l *Log) addEntries(es []raft.Entry) error {
	for _, e := range es {
		l.add(recordEntry, encodeEntry(e))
		l.highest = max(l.highest, e.Index)
		if !l.opts.SyncEachEntry {
			continue
		}
		if err := l.flush(); err != nil {
			return err
		}
	}
	return nil
}

// add collects a record for the next flush.
func (l *Log) add(kind recordType, payload []byte) {
	l.buf = appendRecord(l.buf, l.size, kind, payload)
}

// flush writes and syncs what is collected.
func (l *Log) flush() error {
	if len(l.buf) == 0 {
		return nil
	}
	name := segmentName(l.sequence)
	if _, err := l.file.Write(l.buf); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	l.size += len(l.buf)
	l.buf = l.buf[:0]
	if l.opts.Unsafe.NoSync {
		return nil
	}
	err := l.file.Sync()
	if err != nil && !l.opts.Unsafe.IgnoreFailedSync {
		return eris.Wrapf(err, "sync %s", name)
	}
	return nil
}

// roll begins a segment with all that older ones say beside entries.
func (l *Log) roll() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return eris.Wrapf(err, "close %s", segmentName(l.sequence))
		}
		l.closed = append(l.closed, closedSegment{sequence: l.sequence, highest: l.highest})
	}
	l.sequence++
	l.size = 0
	l.highest = 0
	name := l.path(segmentName(l.sequence))
	f, err := l.fs.Create(name)
	if err != nil {
		return eris.Wrapf(err, "create %s", name)
	}
	l.file = f
	h := header{magic: headerMagic, sequence: l.sequence, store: l.identity.StoreID}
	l.buf = l.buf[:0]
	l.add(recordHeader, encodeHeader(h))
	l.add(recordHardState, encodeHardState(l.hardState))
	l.add(recordMarks, encodeMarks(l.marks))
	if err := l.flush(); err != nil {
		return err
	}
	return eris.Wrapf(l.fs.SyncDir(l.dir), "sync %s", l.dir)
}

// SaveIdentity puts a changed raft identity on disk.
func (l *Log) SaveIdentity(id raft.Identity) error {
	if l.failed != nil {
		return l.failed
	}
	l.identity.Raft = id
	if err := l.writeIdentity(l.identity); err != nil {
		return l.fail(err)
	}
	return nil
}

// Compact removes segments and snapshots that a snapshot on disk makes
// needless.
func (l *Log) Compact(snapshotIndex uint64) error {
	if l.failed != nil {
		return l.failed
	}
	for len(l.closed) > 0 && l.closed[0].highest <= snapshotIndex {
		if err := l.fs.Remove(l.path(segmentName(l.closed[0].sequence))); err != nil {
			return l.fail(eris.Wrap(err, "remove old segment"))
		}
		// The order of removals must survive a crash: no gaps.
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.fail(eris.Wrapf(err, "sync %s", l.dir))
		}
		l.closed = l.closed[1:]
	}
	if err := l.dropSnapshots(snapshotIndex); err != nil {
		return l.fail(err)
	}
	return nil
}
