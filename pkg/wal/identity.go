package wal

import (
	"encoding/json"
	"errors"
	"io/fs"

	"github.com/rotisserie/eris"

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
		return Identity{}, &DamageError{File: name, Cause: "identity is not readable"}
	}
	body, err := json.Marshal(f.Identity)
	if err != nil || checksum(body) != f.Checksum {
		return Identity{}, &DamageError{File: name, Cause: "identity has a wrong checksum"}
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
	return l.replaceFile(identityName, data)
}

// replaceFile puts a whole file in place: temporary file, sync, rename, sync
// of the folder.
func (l *Log) replaceFile(name string, data []byte) error {
	temp := l.path(name + tempSuffix)
	f, err := l.fs.Create(temp)
	if err != nil {
		return eris.Wrapf(err, "create %s", temp)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return eris.Wrapf(err, "write %s", temp)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return eris.Wrapf(err, "sync %s", temp)
	}
	if err := f.Close(); err != nil {
		return eris.Wrapf(err, "close %s", temp)
	}
	if err := l.fs.Rename(temp, l.path(name)); err != nil {
		return eris.Wrapf(err, "rename %s", temp)
	}
	return eris.Wrapf(l.fs.SyncDir(l.dir), "sync %s", l.dir)
}
