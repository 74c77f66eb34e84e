package wal

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// A snapshot file is the CRC-32C of all that follows (4), the length of the
// meta data (4), the meta data as JSON, and the state.
const snapshotFrameBytes = 8

// SaveSnapshot puts a snapshot on disk. It may run beside Save; the log is
// cut behind it only by Truncate.
func (l *Log) SaveSnapshot(s raft.Snapshot) error {
	meta, err := json.Marshal(s.Meta)
	if err != nil {
		return eris.Wrap(err, "snapshot meta data")
	}
	buf := make([]byte, snapshotFrameBytes, snapshotFrameBytes+len(meta)+len(s.Data))
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(meta)))
	buf = append(buf, meta...)
	buf = append(buf, s.Data...)
	binary.LittleEndian.PutUint32(buf, checksum(buf[4:]))
	return disk.ReplaceFile(l.fs, l.dir, snapshotName(s.Meta.Index), buf)
}

func (l *Log) readSnapshot(index uint64) (raft.Snapshot, error) {
	name := l.path(snapshotName(index))
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return raft.Snapshot{}, eris.Wrapf(err, "read %s", name)
	}
	if len(data) < snapshotFrameBytes || binary.LittleEndian.Uint32(data) != checksum(data[4:]) {
		return raft.Snapshot{}, &CorruptionError{File: name, Cause: "snapshot has a wrong checksum"}
	}
	size := int(binary.LittleEndian.Uint32(data[4:]))
	body := data[snapshotFrameBytes:]
	var s raft.Snapshot
	if size > len(body) || json.Unmarshal(body[:size], &s.Meta) != nil || s.Meta.Index != index {
		return raft.Snapshot{}, &CorruptionError{File: name, Cause: "snapshot meta data is not readable"}
	}
	s.Data = body[size:]
	return s, nil
}

// lastSnapshot reads the newest snapshot; its index is 0 if there is none.
func (l *Log) lastSnapshot(names []string) (raft.Snapshot, error) {
	indexes := numbered(names, snapshotSuffix)
	if len(indexes) == 0 {
		return raft.Snapshot{}, nil
	}
	return l.readSnapshot(slices.Max(indexes))
}

// dropSnapshots removes those before an index.
func (l *Log) dropSnapshots(before uint64) error {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return eris.Wrapf(err, "list %s", l.dir)
	}
	for _, index := range numbered(names, snapshotSuffix) {
		if index >= before {
			continue
		}
		if err := l.fs.Remove(l.path(snapshotName(index))); err != nil {
			return eris.Wrap(err, "remove old snapshot")
		}
	}
	return nil
}
