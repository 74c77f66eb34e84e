package wal

import (
	"errors"
	"io"
	"slices"
	"strings"

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
	marks     []raft.Mark
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
	HardState *raft.HardState // nil: unchanged
	Marks     []raft.Mark     // nil: unchanged
}

// Open takes a folder, reads it and counts the start.
func Open(opts Options) (*Log, *State, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: opts.FS, dir: opts.Dir, opts: opts}
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return nil, nil, eris.Wrapf(err, "create folder %s", l.dir)
	}
	lock, err := l.fs.Lock(l.path(lockName))
	if err != nil {
		return nil, nil, eris.Wrapf(err, "folder %s", l.dir)
	}
	l.lock = lock
	st, err := l.load()
	if err != nil {
		return nil, nil, errors.Join(err, l.Close())
	}
	return l, st, nil
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

func (l *Log) load() (*State, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", l.dir)
	}
	st := &State{}
	if err := l.loadIdentity(names); err != nil {
		return nil, err
	}
	if st.Snapshot, err = l.lastSnapshot(names); err != nil {
		return nil, err
	}
	if err := l.removeTemps(names); err != nil {
		return nil, err
	}
	if err := l.loadSegments(numbered(names, segmentSuffix), st); err != nil {
		return nil, err
	}
	l.identity.Incarnation++
	if err := l.writeIdentity(l.identity); err != nil {
		return nil, err
	}
	st.Identity = l.identity
	l.hardState = st.HardState
	l.marks = st.Marks
	if l.file == nil {
		if err := l.roll(); err != nil {
			return nil, err
		}
	}
	return st, l.dropStale(st)
}

// dropStale writes the reset that a crash after SaveSnapshot kept from the
// log.
func (l *Log) dropStale(st *State) error {
	if !st.stale {
		return nil
	}
	st.stale = false
	l.buf = appendRecord(l.buf[:0], recordReset, nil)
	return l.flush()
}

func (l *Log) loadIdentity(names []string) error {
	id, err := l.readIdentity()
	if errors.Is(err, ErrNoStore) && l.opts.Create && emptyStore(names) {
		l.identity = Identity{
			ClusterID: l.opts.ClusterID,
			ReplicaID: l.opts.ReplicaID,
			StoreID:   l.opts.StoreID,
			Raft:      l.opts.Identity,
		}
		return nil
	}
	if err != nil {
		return eris.Wrapf(err, "folder %s", l.dir)
	}
	if id.ClusterID != l.opts.ClusterID || id.ReplicaID != l.opts.ReplicaID {
		return eris.Wrapf(ErrWrongStore, "folder %s is of replica %d in cluster %q", l.dir, id.ReplicaID, id.ClusterID)
	}
	l.identity = id
	return nil
}

// emptyStore tells whether a folder holds no log and no snapshot. Unfinished
// files of a first start that broke off don't count.
func emptyStore(names []string) bool {
	return len(numbered(names, segmentSuffix)) == 0 && len(numbered(names, snapshotSuffix)) == 0
}

func (l *Log) removeTemps(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := l.fs.Remove(l.path(name)); err != nil {
			return eris.Wrap(err, "remove unfinished file")
		}
	}
	return nil
}

func (l *Log) loadSegments(sequences []uint64, st *State) error {
	for i, seq := range sequences {
		if i > 0 && seq != sequences[i-1]+1 {
			return &DamageError{File: l.path(segmentName(sequences[i-1] + 1)), Cause: "segment is missing"}
		}
		if err := l.loadSegment(seq, i == len(sequences)-1, st); err != nil {
			return err
		}
	}
	if len(sequences) > 0 && l.file == nil {
		l.sequence = sequences[len(sequences)-1] - 1 // the last one was dropped
	}
	return nil
}

func (l *Log) loadSegment(seq uint64, last bool, st *State) error {
	name := l.path(segmentName(seq))
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return eris.Wrapf(err, "read %s", name)
	}
	seg, err := readSegment(name, data, last)
	if err != nil {
		return err
	}
	if len(seg.records) == 0 {
		return l.dropUnbegun(name, last)
	}
	if err := l.checkHeader(name, seq, seg.records[0]); err != nil {
		return err
	}
	highest, err := applyRecords(name, seg.records[1:], st)
	if err != nil {
		return err
	}
	if !last {
		l.closed = append(l.closed, closedSegment{sequence: seq, highest: highest})
		return nil
	}
	return l.reopen(seq, seg, highest)
}

// dropUnbegun removes a last segment whose header never got to disk.
func (l *Log) dropUnbegun(name string, last bool) error {
	if !last {
		return &DamageError{File: name, Cause: "segment is empty, and a later one exists"}
	}
	if err := l.fs.Remove(name); err != nil {
		return eris.Wrap(err, "remove unbegun segment")
	}
	return eris.Wrapf(l.fs.SyncDir(l.dir), "sync %s", l.dir)
}

func (l *Log) checkHeader(name string, seq uint64, r record) error {
	if r.kind != recordHeader {
		return &DamageError{File: name, Cause: "segment has no header"}
	}
	h := decodeHeader(r.payload)
	if h.magic != headerMagic || h.sequence != seq || h.store != l.identity.StoreID {
		return &DamageError{File: name, Cause: "segment is of another store or place"}
	}
	return nil
}

func applyRecords(name string, rs []record, st *State) (uint64, error) {
	highest := uint64(0)
	for _, r := range rs {
		if !st.apply(r) {
			return 0, &DamageError{File: name, Cause: "entries are missing before this segment's"}
		}
		if r.kind == recordEntry {
			highest = max(highest, number(r.payload, 0))
		}
	}
	return highest, nil
}

// reopen goes on writing the last segment, behind its last valid record.
func (l *Log) reopen(seq uint64, seg segment, highest uint64) error {
	name := l.path(segmentName(seq))
	if seg.torn {
		if err := l.fs.Truncate(name, int64(seg.end)); err != nil {
			return eris.Wrapf(err, "cut torn tail of %s", name)
		}
	}
	f, err := l.fs.Append(name)
	if err != nil {
		return eris.Wrapf(err, "open %s", name)
	}
	l.file = f
	l.sequence = seq
	l.size = seg.end
	l.highest = highest
	return nil
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
		l.buf = appendRecord(l.buf, recordReset, nil)
	}
	if b.Marks != nil {
		l.marks = slices.Clone(b.Marks)
		l.buf = appendRecord(l.buf, recordMarks, encodeMarks(b.Marks))
	}
	if b.HardState != nil {
		l.hardState = *b.HardState
		l.buf = appendRecord(l.buf, recordHardState, encodeHardState(*b.HardState))
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
		l.buf = appendRecord(l.buf, recordEntry, encodeEntry(e))
		l.highest = max(l.highest, e.Index)
		if !l.opts.SyncEach {
			continue
		}
		if err := l.flush(); err != nil {
			return err
		}
	}
	return nil
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
	l.buf = appendRecord(l.buf[:0], recordHeader, encodeHeader(h))
	l.buf = appendRecord(l.buf, recordHardState, encodeHardState(l.hardState))
	l.buf = appendRecord(l.buf, recordMarks, encodeMarks(l.marks))
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

// Truncate removes segments and snapshots that a snapshot on disk makes
// needless.
func (l *Log) Truncate(snapshotIndex uint64) error {
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
