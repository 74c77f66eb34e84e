package state

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// ErrSnapshot is returned for a snapshot that cannot be decoded.
var ErrSnapshot = eris.New("cannot decode state snapshot")

// storedState is the stored form of a State.
type storedState struct {
	Now      view.Time
	Delta    *view.Delta // the whole view
	Floor    view.Revision
	Barrier  view.Revision
	Objects  ObjectRevision
	Changes  *changeLog
	Sessions []membership.Session
	Groups   []byte
	Permits  []byte
	Once     []byte
	Suspects []byte
}

// Snapshot returns the complete state. Equal states give equal bytes, except for
// tombstones older than the floor.
func (s *State) Snapshot() ([]byte, error) {
	im := storedState{
		Now:      s.now,
		Delta:    s.view.Since(0),
		Floor:    s.floor,
		Barrier:  s.barrier,
		Objects:  s.objects,
		Changes:  s.changes,
		Sessions: s.sessions,
	}
	parts := []struct {
		to   *[]byte
		from func() ([]byte, error)
	}{
		{&im.Groups, s.groups.Snapshot},
		{&im.Permits, s.permits.Snapshot},
		{&im.Once, s.once.Snapshot},
		{&im.Suspects, s.suspects.Snapshot},
	}
	for _, p := range parts {
		b, err := p.from()
		if err != nil {
			return nil, eris.Wrap(err, "take snapshot of a state machine")
		}
		*p.to = b
	}
	var buf bytes.Buffer
	if err := msgpack.NewEncoder(&buf).Encode(&im); err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	return buf.Bytes(), nil
}

// Restore replaces the state by that of a snapshot.
func (s *State) Restore(snapshot []byte) error {
	var im storedState
	if err := msgpack.Unmarshal(snapshot, &im); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	n := New()
	parts := []struct {
		data    []byte
		restore func([]byte) error
	}{
		{im.Groups, n.groups.Restore},
		{im.Permits, n.permits.Restore},
		{im.Once, n.once.Restore},
		{im.Suspects, n.suspects.Restore},
	}
	for _, p := range parts {
		if err := p.restore(p.data); err != nil {
			return eris.Wrap(ErrSnapshot, err.Error())
		}
	}
	v, err := n.view.Install(im.Delta)
	if err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	n.view = v
	n.now = im.Now
	n.floor = im.Floor
	n.barrier = im.Barrier
	n.objects = im.Objects
	n.changes = im.Changes
	n.changes.rebuildIndex()
	n.sessions = im.Sessions
	*s = *n
	return nil
}
