package wal

import (
	"errors"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// Log is an open store. Its methods must be called by one goroutine, except that SaveSnapshot may
// run concurrently with the others.
type Log struct {
	fs       disk.FS
	dir      string
	opts     Options
	identity Identity
	lock     io.Closer

	file           disk.File
	sequence       uint64 // sequence number of the open segment
	segmentSize    int    // bytes in the open segment
	highestIndex   uint64 // highest index of an entry in the open segment
	closedSegments []closedSegment
	buf            []byte

	hardState raft.HardState
	marks     []raft.Watermark
	failure   error
}

// closedSegment is a segment that is no longer written to.
type closedSegment struct {
	sequence     uint64
	highestIndex uint64 // highest index of an entry in the segment
}

// Batch is a set of changes that are written and synced together.
type Batch struct {
	Reset     bool // discard earlier entries, which a snapshot has replaced
	Entries   []raft.Entry
	HardState *raft.HardState  // nil: unchanged
	Marks     []raft.Watermark // nil: unchanged
}

// Identity returns the identity of the store.
func (l *Log) Identity() Identity {
	return l.identity
}

// Close closes the store and releases its lock. It does not sync.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	return errors.Join(err, l.lock.Close())
}

// Save writes a batch and syncs it.
func (l *Log) Save(b Batch) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.save(b); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failure = eris.Wrap(ErrFailed, err.Error())
	return l.failure
}

func (l *Log) save(b Batch) error {
	l.buf = l.buf[:0]
	if b.Reset {
		l.bufferRecord(recordReset, nil)
	}
	if b.Marks != nil {
		l.marks = slices.Clone(b.Marks)
		l.bufferRecord(recordMarks, encodeMarks(b.Marks))
	}
	if b.HardState != nil {
		l.hardState = *b.HardState
		l.bufferRecord(recordHardState, encodeHardState(*b.HardState))
	}
	if err := l.bufferEntries(b.Entries); err != nil {
		return err
	}
	if err := l.flush(); err != nil {
		return err
	}
	if l.segmentSize >= l.opts.SegmentBytes {
		return l.startSegment()
	}
	return nil
}

func (l *Log) bufferEntries(es []raft.Entry) error {
	for _, e := range es {
		l.bufferRecord(recordEntry, encodeEntry(e))
		l.highestIndex = max(l.highestIndex, e.Index)
		if !l.opts.SyncEachEntry {
			continue
		}
		if err := l.flush(); err != nil {
			return err
		}
	}
	return nil
}

// bufferRecord adds a record to the buffer for the next flush.
func (l *Log) bufferRecord(kind recordType, payload []byte) {
	l.buf = appendRecord(l.buf, l.segmentSize, kind, payload)
}

// flush writes and syncs the buffered records.
func (l *Log) flush() error {
	if len(l.buf) == 0 {
		return nil
	}
	name := segmentName(l.sequence)
	if _, err := l.file.Write(l.buf); err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	l.segmentSize += len(l.buf)
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

// startSegment closes the open segment and starts a new one, with the current hard state and marks.
func (l *Log) startSegment() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return eris.Wrapf(err, "close %s", segmentName(l.sequence))
		}
		l.closedSegments = append(l.closedSegments, closedSegment{sequence: l.sequence, highestIndex: l.highestIndex})
	}
	l.sequence++
	l.segmentSize = 0
	l.highestIndex = 0
	name := l.path(segmentName(l.sequence))
	f, err := l.fs.Create(name)
	if err != nil {
		return eris.Wrapf(err, "create %s", name)
	}
	l.file = f
	h := header{magic: headerMagic, sequence: l.sequence, store: l.identity.StoreID}
	l.buf = l.buf[:0]
	l.bufferRecord(recordHeader, encodeHeader(h))
	l.bufferRecord(recordHardState, encodeHardState(l.hardState))
	l.bufferRecord(recordMarks, encodeMarks(l.marks))
	if err := l.flush(); err != nil {
		return err
	}
	return eris.Wrapf(l.fs.SyncDir(l.dir), "sync %s", l.dir)
}

// SaveIdentity writes and syncs a changed raft identity.
func (l *Log) SaveIdentity(id raft.Identity) error {
	if l.failure != nil {
		return l.failure
	}
	l.identity.Raft = id
	if err := l.writeIdentity(l.identity); err != nil {
		return l.fail(err)
	}
	return nil
}

// Compact removes the segments and snapshots that are superseded by the snapshot on disk at
// snapshotIndex.
func (l *Log) Compact(snapshotIndex uint64) error {
	if l.failure != nil {
		return l.failure
	}
	for len(l.closedSegments) > 0 && l.closedSegments[0].highestIndex <= snapshotIndex {
		if err := l.fs.Remove(l.path(segmentName(l.closedSegments[0].sequence))); err != nil {
			return l.fail(eris.Wrap(err, "remove old segment"))
		}
		// Sync after each removal, so that a crash cannot leave a gap in the sequence.
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.fail(eris.Wrapf(err, "sync %s", l.dir))
		}
		l.closedSegments = l.closedSegments[1:]
	}
	if err := l.removeSnapshots(snapshotIndex); err != nil {
		return l.fail(err)
	}
	return nil
}
