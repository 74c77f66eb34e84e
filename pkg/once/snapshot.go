package once

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// hashBytes is the size of one tombstone in a snapshot.
const hashBytes = 8

// machineSnapshot is the msgpack form of a Machine.
type machineSnapshot struct {
	Now      view.Time
	Services []serviceSnapshot // sorted by name
}

// serviceSnapshot is the msgpack form of one service's records.
type serviceSnapshot struct {
	Name       string
	Declared   bool
	Limits     limits
	Floor      view.Time
	Records    []*record // sorted by organisation and key
	Tombstones []byte    // sorted hashes of 8 bytes each
}

// Snapshot encodes the whole state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	snap := machineSnapshot{Now: m.now}
	for _, name := range m.serviceNames() {
		snap.Services = append(snap.Services, m.services[name].snapshot())
	}
	return msgpack.Marshal(&snap)
}

// Restore replaces the whole state. On an error the state is unchanged.
func (m *Machine) Restore(b []byte) error {
	var snap machineSnapshot
	if err := msgpack.Unmarshal(b, &snap); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	services := make(map[string]*serviceRecords, len(snap.Services))
	for _, s := range snap.Services {
		if len(s.Tombstones)%hashBytes != 0 {
			return eris.Wrapf(ErrSnapshot, "tombstones of %s have %d bytes", s.Name, len(s.Tombstones))
		}
		services[s.Name] = s.records(&m.options)
	}
	m.services = services
	m.now = snap.Now
	return nil
}

func (s *serviceRecords) snapshot() serviceSnapshot {
	records := slices.SortedFunc(maps.Values(s.records), func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Key, b.Key))
	})
	tombstones := make([]byte, 0, len(s.tombstones)*hashBytes)
	for _, h := range slices.Sorted(maps.Keys(s.tombstones)) {
		tombstones = binary.BigEndian.AppendUint64(tombstones, h)
	}
	return serviceSnapshot{
		Name:       s.name,
		Declared:   s.declared,
		Limits:     s.limits,
		Floor:      s.floor,
		Records:    records,
		Tombstones: tombstones,
	}
}

// records rebuilds the indexes that are not part of the snapshot.
func (s serviceSnapshot) records(o *Options) *serviceRecords {
	r := newServiceRecords(s.Name, o)
	r.declared = s.Declared
	r.limits = s.Limits
	r.floor = s.Floor
	for _, rec := range s.Records {
		r.insert(rec)
		r.due.add(rec)
		if rec.State == stateInProgress {
			r.inProgress[rec.id()] = rec
		}
	}
	for b := s.Tombstones; len(b) > 0; b = b[hashBytes:] {
		r.tombstones[binary.BigEndian.Uint64(b)] = struct{}{}
	}
	return r
}
