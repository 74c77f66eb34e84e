package wal

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// A snapshot file consists of the CRC-32C of everything that follows (4 bytes), the length of the
// metadata (4 bytes), the metadata as JSON, and the state.
const snapshotFrameBytes = 8

// SaveSnapshot writes and syncs a snapshot. It may run concurrently with Save. It does not remove
// the log entries that the snapshot covers; Compact does.
func (l *Log) SaveSnapshot(s raft.Snapshot) error {
	meta, err := json.Marshal(s.Meta)
	if err != nil {
		return eris.Wrap(err, "encode snapshot metadata")
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
		return raft.Snapshot{}, &CorruptionError{File: name, Cause: "snapshot metadata is invalid"}
	}
	s.Data = body[size:]
	return s, nil
}

// newestSnapshot reads the newest snapshot. Its index is 0 if there is none.
func (l *Log) newestSnapshot(names []string) (raft.Snapshot, error) {
	indexes := parseNumbers(names, snapshotSuffix)
	if len(indexes) == 0 {
		return raft.Snapshot{}, nil
	}
	return l.readSnapshot(slices.Max(indexes))
}

// removeSnapshots removes the snapshots before an index.
func (l *Log) removeSnapshots(before uint64) error {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return eris.Wrapf(err, "list %s", l.dir)
	}
	for _, index := range parseNumbers(names, snapshotSuffix) {
		if index >= before {
			continue
		}
		if err := l.fs.Remove(l.path(snapshotName(index))); err != nil {
			return eris.Wrap(err, "remove old snapshot")
		}
	}
	return nil
}
