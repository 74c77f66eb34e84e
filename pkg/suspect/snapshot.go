package suspect

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// machineSnapshot is the msgpack form of a Machine.
type machineSnapshot struct {
	Order   uint64
	Trial   view.GateName
	Crashes []crashSnapshot // sorted by crash
	Entries []*suspectEntry // sorted by fingerprint
}

// crashSnapshot is the msgpack form of a crash.
type crashSnapshot struct {
	ID    crashID
	Order uint64
	At    view.Time
	Ran   []ranSnapshot // sorted by fingerprint
}

// ranSnapshot is one fingerprint that ran in a crash.
type ranSnapshot struct {
	Fingerprint view.Fingerprint
	Trial       bool
}

// Snapshot encodes the whole state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	snap := machineSnapshot{Order: m.lastOrder, Trial: m.trialGate}
	for _, id := range slices.SortedFunc(maps.Keys(m.crashes), crashID.compare) {
		snap.Crashes = append(snap.Crashes, m.crashes[id].snapshot())
	}
	snap.Entries = slices.SortedFunc(maps.Values(m.entries), func(a, b *suspectEntry) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return msgpack.Marshal(&snap)
}

// Restore replaces the whole state. On an error the state is unchanged.
func (m *Machine) Restore(b []byte) error {
	var snap machineSnapshot
	if err := msgpack.Unmarshal(b, &snap); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	m.lastOrder = snap.Order
	m.trialGate = snap.Trial
	m.crashes = make(map[crashID]*crash, len(snap.Crashes))
	for _, c := range snap.Crashes {
		m.crashes[c.ID] = c.crash()
	}
	m.entries = make(map[view.Fingerprint]*suspectEntry, len(snap.Entries))
	for _, e := range snap.Entries {
		m.entries[e.Fingerprint] = e
	}
	return nil
}

func (c *crash) snapshot() crashSnapshot {
	s := crashSnapshot{ID: c.ID, Order: c.Order, At: c.At}
	for _, f := range slices.Sorted(maps.Keys(c.Ran)) {
		s.Ran = append(s.Ran, ranSnapshot{Fingerprint: f, Trial: c.Ran[f]})
	}
	return s
}

func (s crashSnapshot) crash() *crash {
	c := &crash{ID: s.ID, Order: s.Order, At: s.At, Ran: make(map[view.Fingerprint]bool, len(s.Ran))}
	for _, r := range s.Ran {
		c.Ran[r.Fingerprint] = r.Trial
	}
	return c
}
