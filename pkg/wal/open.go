package wal

import (
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
)

// Open locks the directory, reads its content and increments the incarnation.
func Open(opts Options) (*Log, *State, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: opts.FS, dir: opts.Dir, opts: opts}
	if err := l.fs.MkdirAll(l.dir); err != nil {
		return nil, nil, eris.Wrapf(err, "create directory %s", l.dir)
	}
	lock, err := l.fs.Lock(l.path(lockName))
	if err != nil {
		return nil, nil, eris.Wrapf(err, "lock directory %s", l.dir)
	}
	l.lock = lock
	st, err := l.load()
	if err != nil {
		return nil, nil, errors.Join(err, l.Close())
	}
	return l, st, nil
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
	if st.Snapshot, err = l.newestSnapshot(names); err != nil {
		return nil, err
	}
	if err := l.removeTempFiles(names); err != nil {
		return nil, err
	}
	if err := l.loadSegments(parseNumbers(names, segmentSuffix), st); err != nil {
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
		if err := l.startSegment(); err != nil {
			return nil, err
		}
	}
	return st, l.resetStaleLog(st)
}

// resetStaleLog writes the reset record that is missing because of a crash after SaveSnapshot.
func (l *Log) resetStaleLog(st *State) error {
	if !st.stale {
		return nil
	}
	st.stale = false
	l.buf = l.buf[:0]
	l.bufferRecord(recordReset, nil)
	return l.flush()
}

func (l *Log) loadIdentity(names []string) error {
	id, err := l.readIdentity()
	if errors.Is(err, ErrNoStore) && l.opts.Create && isEmptyStore(names) {
		l.identity = Identity{
			ClusterID: l.opts.ClusterID,
			ReplicaID: l.opts.ReplicaID,
			StoreID:   l.opts.StoreID,
			Raft:      l.opts.Identity,
		}
		return nil
	}
	if err != nil {
		return eris.Wrapf(err, "directory %s", l.dir)
	}
	if id.ClusterID != l.opts.ClusterID || id.ReplicaID != l.opts.ReplicaID {
		return eris.Wrapf(ErrWrongStore, "directory %s is of replica %d in cluster %q", l.dir, id.ReplicaID, id.ClusterID)
	}
	l.identity = id
	return nil
}

// isEmptyStore reports whether a directory holds neither a log nor a snapshot. Temporary files of
// an interrupted first start do not count.
func isEmptyStore(names []string) bool {
	return len(parseNumbers(names, segmentSuffix)) == 0 && len(parseNumbers(names, snapshotSuffix)) == 0
}

func (l *Log) removeTempFiles(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, disk.TempSuffix) {
			continue
		}
		if err := l.fs.Remove(l.path(name)); err != nil {
			return eris.Wrap(err, "remove temporary file")
		}
	}
	return nil
}

func (l *Log) loadSegments(sequences []uint64, st *State) error {
	for i, seq := range sequences {
		if i > 0 && seq != sequences[i-1]+1 {
			return &CorruptionError{File: l.path(segmentName(sequences[i-1] + 1)), Cause: "segment is missing"}
		}
		if err := l.loadSegment(seq, i == len(sequences)-1, st); err != nil {
			return err
		}
	}
	if len(sequences) > 0 && l.file == nil {
		l.sequence = sequences[len(sequences)-1] - 1 // the last segment was removed
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
		return l.removeEmptySegment(name, last)
	}
	if err := l.checkHeader(name, seq, seg.records[0]); err != nil {
		return err
	}
	highest, err := applyRecords(name, seg.records[1:], st)
	if err != nil {
		return err
	}
	if !last {
		l.closedSegments = append(l.closedSegments, closedSegment{sequence: seq, highestIndex: highest})
		return nil
	}
	return l.resumeSegment(seq, seg, highest)
}

// removeEmptySegment removes a last segment whose header did not reach the disk.
func (l *Log) removeEmptySegment(name string, last bool) error {
	if !last {
		return &CorruptionError{File: name, Cause: "segment is empty, and a later one exists"}
	}
	if err := l.fs.Remove(name); err != nil {
		return eris.Wrap(err, "remove empty segment")
	}
	return eris.Wrapf(l.fs.SyncDir(l.dir), "sync %s", l.dir)
}

func (l *Log) checkHeader(name string, seq uint64, r record) error {
	if r.kind != recordHeader {
		return &CorruptionError{File: name, Cause: "segment has no header"}
	}
	h := decodeHeader(r.payload)
	if h.magic != headerMagic || h.sequence != seq || h.store != l.identity.StoreID {
		return &CorruptionError{File: name, Cause: "segment header does not match the store or the file name"}
	}
	return nil
}

func applyRecords(name string, rs []record, st *State) (uint64, error) {
	highest := uint64(0)
	for _, r := range rs {
		if !st.applyRecord(r) {
			return 0, &CorruptionError{File: name, Cause: "entries before this segment are missing"}
		}
		if r.kind == recordEntry {
			highest = max(highest, uint64At(r.payload, 0))
		}
	}
	return highest, nil
}

// resumeSegment opens the last segment for appending after its last valid record.
func (l *Log) resumeSegment(seq uint64, seg segment, highest uint64) error {
	name := l.path(segmentName(seq))
	if seg.torn {
		if err := l.fs.Truncate(name, int64(seg.validBytes)); err != nil {
			return eris.Wrapf(err, "truncate torn tail of %s", name)
		}
	}
	f, err := l.fs.Append(name)
	if err != nil {
		return eris.Wrapf(err, "open %s", name)
	}
	l.file = f
	l.sequence = seq
	l.segmentSize = seg.validBytes
	l.highestIndex = highest
	return nil
}
