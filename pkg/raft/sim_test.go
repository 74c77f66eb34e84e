package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
)

// simDisk is what a simulated replica has synced.
type simDisk struct {
	identity    Identity
	hardState   HardState
	snapshot    Snapshot
	entries     []Entry
	marks       []Watermark
	incarnation uint64
	store       uint64
}

type simNode struct {
	id   ID
	core *Core
	disk simDisk
	dead bool // refused, or waiting for a restart
}

// sim runs cores over a bag of messages and checks the safety properties
// after each operation.
type sim struct {
	rand      *rand.Rand
	nodes     map[ID]*simNode
	bag       []Message
	leaders   map[uint64]ID    // by term
	committed map[uint64]Entry // by index
	highest   uint64           // committed index seen so far
	readFloor map[uint64]uint64
	readToken uint64
	proposed  uint64
	nextID    ID
	commits   int
	reads     int
	changes   int
}

const (
	simBag     = 400
	simMembers = 3
)

func newSim(seed uint64) *sim {
	s := &sim{
		rand:      rand.New(rand.NewPCG(seed, 3)),
		nodes:     map[ID]*simNode{},
		leaders:   map[uint64]ID{},
		committed: map[uint64]Entry{},
		readFloor: map[uint64]uint64{},
		nextID:    simMembers + 1,
	}
	var ms []Member
	for id := ID(1); id <= simMembers; id++ {
		ms = append(ms, Member{ID: id, Address: "sim"})
	}
	for id := ID(1); id <= simMembers; id++ {
		s.add(id, Identity{Initial: ms})
	}
	return s
}

func (s *sim) add(id ID, identity Identity) {
	n := &simNode{id: id, disk: simDisk{identity: identity, store: uint64(id) * 100}}
	s.nodes[id] = n
	s.restart(n)
}

func (s *sim) restart(n *simNode) {
	n.disk.incarnation++
	n.dead = false
	n.core = New(Config{
		ID:              n.id,
		Store:           n.disk.store,
		Incarnation:     n.disk.incarnation,
		Nonce:           s.rand.Uint64(),
		Identity:        n.disk.identity,
		HardState:       n.disk.hardState,
		Snapshot:        n.disk.snapshot,
		Entries:         slices.Clone(n.disk.entries),
		Watermarks:      n.disk.marks,
		ElectionTicks:   4,
		MaxInflight:     3,
		BatchBytes:      120,
		ChunkBytes:      7,
		TrailingEntries: 3,
		Rand:            rand.New(rand.NewPCG(s.rand.Uint64(), 4)),
	})
}

func (s *sim) ids() []ID {
	ids := make([]ID, 0, len(s.nodes))
	for id := range s.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *sim) pick() *simNode {
	ids := s.ids()
	return s.nodes[ids[s.rand.IntN(len(ids))]]
}

func (s *sim) leader() *simNode {
	var best *simNode
	for _, id := range s.ids() {
		n := s.nodes[id]
		if !n.dead && n.core.role == Leader && (best == nil || n.core.term > best.core.term) {
			best = n
		}
	}
	return best
}

// work carries out Ready. With crash 1 the node dies before the sync, with 2
// after the sync and before messages leave.
func (s *sim) work(n *simNode, crash int) error {
	n.core.Flush()
	for !n.dead && n.core.HasReady() {
		rd := n.core.Ready()
		s.post(rd.EarlyMessages)
		if crash == 1 {
			n.dead = true
			return nil
		}
		n.disk.save(rd)
		if crash == 2 {
			n.dead = true
			return nil
		}
		n.core.Advance(rd)
		s.post(rd.Messages)
		if err := s.finishReads(rd.ReadStates); err != nil {
			return err
		}
		if rd.Refused != RefusalNone {
			if rd.Refused != RefusalRemoved {
				return fmt.Errorf("replica %d refused: %s", n.id, rd.Refused)
			}
			n.dead = true
		}
	}
	if n.dead {
		return nil
	}
	return s.apply(n)
}

func (d *simDisk) save(rd Ready) {
	if rd.Identity != nil {
		d.identity = *rd.Identity
	}
	if rd.Snapshot != nil {
		d.snapshot = *rd.Snapshot
		d.entries = nil
	}
	if rd.HardState != nil {
		d.hardState = *rd.HardState
	}
	if rd.MustSync() && rd.Watermarks != nil {
		d.marks = rd.Watermarks
	}
	for _, e := range rd.Entries {
		d.entries = append(d.entries[:e.Index-d.snapshot.Meta.Index-1], e)
	}
}

func (s *sim) post(ms []Message) {
	s.bag = append(s.bag, ms...)
	if over := len(s.bag) - simBag; over > 0 {
		s.bag = s.bag[over:]
	}
}

func (s *sim) finishReads(rs []ReadState) error {
	for _, r := range rs {
		if r.OK && r.Index < s.readFloor[r.Token] {
			return fmt.Errorf("read at index %d after commit of %d", r.Index, s.readFloor[r.Token])
		}
		if r.OK {
			s.reads++
		}
	}
	return nil
}

// apply checks state machine safety and takes a snapshot now and then.
func (s *sim) apply(n *simNode) error {
	for _, e := range n.core.NextCommitted(100) {
		if err := s.noteCommitted(n.id, e); err != nil {
			return err
		}
	}
	if s.rand.IntN(20) > 0 || n.core.log.handed == n.core.snapshot.Meta.Index {
		return nil
	}
	index := n.core.log.handed
	meta, ok := n.core.Compact(index, []byte(fmt.Sprintf("state after entry %d", index)))
	if ok {
		n.disk.snapshot = n.core.snapshot
		n.disk.entries = slices.Clone(n.disk.entries)
		keep := slices.IndexFunc(n.disk.entries, func(e Entry) bool { return e.Index == meta.Index })
		n.disk.entries = n.disk.entries[keep+1:]
	}
	return nil
}

func (s *sim) noteCommitted(id ID, e Entry) error {
	old, ok := s.committed[e.Index]
	if ok && (old.Term != e.Term || !bytes.Equal(old.Data, e.Data)) {
		return fmt.Errorf("replica %d applies another entry at %d: term %d, was term %d", id, e.Index, e.Term, old.Term)
	}
	if !ok {
		s.committed[e.Index] = e
		s.commits++
	}
	return nil
}

// check looks at all properties that hold between replicas.
func (s *sim) check() error {
	for _, id := range s.ids() {
		n := s.nodes[id]
		if n.dead {
			continue
		}
		if err := s.checkLeader(n); err != nil {
			return err
		}
		s.highest = max(s.highest, n.core.log.committed)
		for _, other := range s.ids() {
			if o := s.nodes[other]; other > id && !o.dead {
				if err := logsMatch(n, o); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// checkLeader: one leader per term, and it holds every committed entry.
func (s *sim) checkLeader(n *simNode) error {
	if n.core.role != Leader {
		return nil
	}
	if old, ok := s.leaders[n.core.term]; ok {
		if old != n.id {
			return fmt.Errorf("term %d has leaders %d and %d", n.core.term, old, n.id)
		}
		return nil
	}
	s.leaders[n.core.term] = n.id
	for index, e := range s.committed {
		if index > n.core.log.baseIndex && !n.core.log.matches(index, e.Term) {
			return fmt.Errorf("leader %d of term %d lacks committed entry %d", n.id, n.core.term, index)
		}
	}
	if n.core.log.last() < s.highest {
		return fmt.Errorf("leader %d of term %d ends before commit %d", n.id, n.core.term, s.highest)
	}
	return nil
}

// logsMatch: below an entry of equal index and term all entries are equal.
func logsMatch(a, b *simNode) error {
	la, lb := &a.core.log, &b.core.log
	met := false
	for i := min(la.last(), lb.last()); i > max(la.baseIndex, lb.baseIndex); i-- {
		ta, _ := la.term(i)
		met = met || lb.matches(i, ta)
		if !met {
			continue
		}
		ea, eb := la.entries[i-la.baseIndex-1], lb.entries[i-lb.baseIndex-1]
		if ea.Term != eb.Term || !bytes.Equal(ea.Data, eb.Data) {
			return fmt.Errorf("logs of %d and %d differ at %d below a common entry", a.id, b.id, i)
		}
	}
	return nil
}

func (s *sim) deliver(keep bool) error {
	if len(s.bag) == 0 {
		return nil
	}
	i := s.rand.IntN(len(s.bag))
	m := s.bag[i]
	if !keep {
		s.bag = slices.Delete(s.bag, i, i+1)
	}
	n := s.nodes[m.To]
	if n == nil || n.dead {
		return nil
	}
	n.core.Step(m)
	return s.work(n, s.crash(200))
}

// crash returns a way to die with one chance in n each.
func (s *sim) crash(n int) int {
	return max(0, 3-1-s.rand.IntN(n))
}

// operate does one random thing.
func (s *sim) operate() error {
	var err error
	switch k := s.rand.IntN(100); {
	case k < 62:
		err = s.deliver(false)
	case k < 66:
		err = s.deliver(true)
	case k < 68 && len(s.bag) > 0:
		i := s.rand.IntN(len(s.bag))
		s.bag = slices.Delete(s.bag, i, i+1)
	case k < 84:
		err = s.tick()
	case k < 92:
		err = s.propose()
	case k < 95:
		err = s.read()
	case k < 97:
		err = s.wake()
	case k < 98:
		err = s.changeMembers()
	default:
		err = s.transfer()
	}
	if err != nil {
		return err
	}
	return s.check()
}

func (s *sim) tick() error {
	n := s.pick()
	if n.dead {
		return nil
	}
	n.core.Tick()
	return s.work(n, s.crash(400))
}

func (s *sim) propose() error {
	n := s.pick()
	if l := s.leader(); l != nil && s.rand.IntN(4) > 0 {
		n = l
	}
	if n.dead {
		return nil
	}
	for range 1 + s.rand.IntN(3) {
		s.proposed++
		_, _, _ = n.core.Propose([]byte(fmt.Sprint("command ", s.proposed)))
	}
	return s.work(n, s.crash(100))
}

func (s *sim) read() error {
	n := s.pick()
	if n.dead {
		return nil
	}
	s.readToken++
	s.readFloor[s.readToken] = s.highest
	n.core.ReadIndex(s.readToken)
	return s.work(n, 0)
}

// wake restarts a dead replica, or any.
func (s *sim) wake() error {
	n := s.pick()
	for _, id := range s.ids() {
		if o := s.nodes[id]; o.dead {
			n = o
		}
	}
	s.restart(n)
	return s.work(n, 0)
}

func (s *sim) transfer() error {
	l := s.leader()
	if l == nil {
		return nil
	}
	_ = l.core.TransferLeadership(s.pick().id)
	return s.work(l, 0)
}

// changeMembers adds, promotes or removes a replica.
func (s *sim) changeMembers() error {
	l := s.leader()
	if l == nil {
		return nil
	}
	var err error
	ms := l.core.Membership()
	switch victim := s.pick().id; {
	case len(ms.Members) < 4:
		if _, _, err = l.core.AddLearner(s.nextID, "sim"); err == nil {
			s.add(s.nextID, Identity{Active: true})
			s.nextID++
		}
	case len(ms.Voters()) < 4:
		for _, m := range ms.Members {
			if m.Learner {
				_, _, err = l.core.Promote(m.ID)
			}
		}
	default:
		_, _, err = l.core.Remove(victim)
	}
	if err == nil {
		s.changes++
	}
	return s.work(l, 0)
}
