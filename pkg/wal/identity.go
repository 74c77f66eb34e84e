package wal

import (
	"encoding/json"
	"errors"
	"io/fs"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/disk"
	"github.com/sesamemux/sesamemux/pkg/raft"
)

// Identity names a store and what it knows of others.
type Identity struct {
	ClusterID   string        `json:"cluster_id"`
	ReplicaID   raft.ID       `json:"replica_id"`
	StoreID     uint64        `json:"store_id"`
	Incarnation uint64        `json:"incarnation"` // counts starts on this folder
	Raft        raft.Identity `json:"raft"`
}

type identityFile struct {
	Identity Identity `json:"identity"`
	Checksum uint32   `json:"checksum"` // CRC-32C of the identity's JSON
}

func (l *Log) readIdentity() (Identity, error) {
	name := l.path(identityName)
	data, err := l.fs.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, ErrNoStore
	}
	if err != nil {
		return Identity{}, eris.Wrapf(err, "read %s", name)
	}
	var f identityFile
	if err := json.Unmarshal(data, &f); err != nil {
		return Identity{}, &CorruptionError{File: name, Cause: "identity is not readable"}
	}
	body, err := json.Marshal(f.Identity)
	if err != nil || checksum(body) != f.Checksum {
		return Identity{}, &CorruptionError{File: name, Cause: "identity has a wrong checksum"}
	}
	return f.Identity, nil
}

func (l *Log) writeIdentity(id Identity) error {
	body, err := json.Marshal(id)
	if err != nil {
		return eris.Wrap(err, "identity")
	}
	data, err := json.MarshalIndent(identityFile{Identity: id, Checksum: checksum(body)}, "", "  ")
	if err != nil {
		return eris.Wrap(err, "identity")
	}
	return disk.ReplaceFile(l.fs, l.dir, identityName, data)
}
