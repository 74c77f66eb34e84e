package wal

import (
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
)

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
	l.buf = l.buf[:0]
	l.add(recordReset, nil)
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
		if !strings.HasSuffix(name, disk.TempSuffix) {
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
			return &CorruptionError{File: l.path(segmentName(sequences[i-1] + 1)), Cause: "segment is missing"}
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
		return &CorruptionError{File: name, Cause: "segment is empty, and a later one exists"}
	}
	if err := l.fs.Remove(name); err != nil {
		return eris.Wrap(err, "remove unbegun segment")
	}
	return eris.Wrapf(l.fs.SyncDir(l.dir), "sync %s", l.dir)
}

func (l *Log) checkHeader(name string, seq uint64, r record) error {
	if r.kind != recordHeader {
		return &CorruptionError{File: name, Cause: "segment has no header"}
	}
	h := decodeHeader(r.payload)
	if h.magic != headerMagic || h.sequence != seq || h.store != l.identity.StoreID {
		return &CorruptionError{File: name, Cause: "segment is of another store or place"}
	}
	return nil
}

func applyRecords(name string, rs []record, st *State) (uint64, error) {
	highest := uint64(0)
	for _, r := range rs {
		if !st.apply(r) {
			return 0, &CorruptionError{File: name, Cause: "entries are missing before this segment's"}
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
