package group

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesamemux/sesamemux/pkg/group/repair"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/view"
)

var (
	// ErrEncode says that the state could not be encoded.
	ErrEncode = eris.New("encode group state")
	// ErrDecode says that a snapshot could not be read. The machine is empty.
	ErrDecode = eris.New("decode group state")
)

// state is the replicated state in a fixed order.
type state struct {
	Now     view.Time
	Barrier view.Revision
	Epoch   view.Epoch
	Models  []modelState
	Numbers []numberState
	Hosts   []host
	Groups  []group
	Drains  []drainKey
	Returns repair.ReturnHistory
	Account account
}

type modelState struct {
	Want         object.ModelGroup
	Weights      int64
	Removed      bool
	SurplusSince view.Time
	Blocked      bool
	SpareVersion string
}

type numberState struct {
	Model string
	Last  uint64
}

// Snapshot encodes the replicated state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(m.state()); err != nil {
		return nil, eris.Wrap(ErrEncode, err.Error())
	}
	return b.Bytes(), nil
}

func (m *Machine) state() *state {
	s := &state{
		Now:     m.now,
		Barrier: m.barrier,
		Epoch:   m.epoch,
		Returns: m.returns,
		Account: m.account,
	}
	for _, name := range slices.Sorted(maps.Keys(m.models)) {
		mod := m.models[name]
		s.Models = append(s.Models, modelState{
			Want:         mod.want,
			Weights:      mod.weights,
			Removed:      mod.removed,
			SurplusSince: mod.surplusSince,
			Blocked:      mod.blocked,
			SpareVersion: mod.spareVersion,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(m.numbers)) {
		s.Numbers = append(s.Numbers, numberState{Model: name, Last: m.numbers[name]})
	}
	for _, name := range slices.Sorted(maps.Keys(m.hosts)) {
		s.Hosts = append(s.Hosts, *m.hosts[name])
	}
	for _, id := range slices.Sorted(maps.Keys(m.groups)) {
		s.Groups = append(s.Groups, *m.groups[id])
	}
	s.Drains = slices.SortedFunc(maps.Keys(m.drains), func(a, b drainKey) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return s
}

// Restore replaces the state by that of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	m.reset()
	var s state
	if err := msgpack.Unmarshal(snapshot, &s); err != nil {
		return eris.Wrap(ErrDecode, err.Error())
	}
	m.now, m.barrier, m.epoch = s.Now, s.Barrier, s.Epoch
	m.returns, m.account = s.Returns, s.Account
	for _, d := range s.Drains {
		m.drains[d] = true
	}
	for _, n := range s.Numbers {
		m.numbers[n.Model] = n.Last
	}
	for _, ms := range s.Models {
		m.restoreModel(ms)
	}
	for i := range s.Hosts {
		m.restoreHost(&s.Hosts[i])
	}
	for i := range s.Groups {
		m.restoreGroup(&s.Groups[i])
	}
	return nil
}

func (m *Machine) restoreModel(s modelState) {
	mod := newModel()
	mod.want = s.Want
	mod.adapters = sortedAdapters(s.Want.Adapters)
	mod.weights = s.Weights
	mod.removed = s.Removed
	mod.surplusSince = s.SurplusSince
	mod.blocked = s.Blocked
	mod.spareVersion = s.SpareVersion
	m.models[s.Want.Name] = mod
}

func (m *Machine) restoreHost(h *host) {
	m.hosts[h.Info.Name] = h
	m.enterDomain(h)
	m.countHost(h, 1)
	m.enterQueue(h)
	m.indexSpare(h)
	if h.Unsettled {
		m.unsettled[h.Info.Name] = h
	}
}

func (m *Machine) restoreGroup(g *group) {
	for rank := range g.Seats {
		s := &g.Seats[rank]
		s.host, s.next = m.hosts[s.Host], m.hosts[s.Next]
	}
	m.addGroup(g)
	g.counted = tally{}
	m.recount(g)
	m.followIndexes(g)
}
