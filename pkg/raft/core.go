package raft

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Core is one replica's consensus state. It isn't safe for concurrent use.
type Core struct {
	cfg  Config
	id   ID
	rand *rand.Rand

	role     Role
	term     uint64
	vote     ID
	leader   ID
	log      entryLog
	members  membershipLog
	snapshot Snapshot
	incoming *incomingSnapshot

	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	quorumElapsed    int
	votes            map[ID]bool

	progress     map[ID]*progress
	termStart    uint64 // the leader's first entry
	round        uint64
	reads        readQueue
	transferTo   ID
	transferLeft int // ticks

	greeting greeting
	marks    map[ID]Watermark
	stores   map[ID]uint64
	active   bool

	saved           HardState
	identityChanged bool
	marksChanged    bool
	early           []Message
	messages        []Message
	readsDone       []ReadState
	newSnapshot     *Snapshot
	refused         Refusal
}

// New returns a core that continues from what its folder holds.
func New(cfg Config) *Core {
	cfg.setDefaults()
	c := &Core{
		cfg:      cfg,
		id:       cfg.ID,
		rand:     cfg.Rand,
		role:     Follower,
		term:     cfg.HardState.Term,
		vote:     cfg.HardState.Vote,
		saved:    cfg.HardState,
		snapshot: cfg.Snapshot,
		marks:    map[ID]Watermark{},
		stores:   map[ID]uint64{},
		active:   cfg.Identity.Active || len(cfg.Identity.Initial) == 0,
	}
	c.restoreLog()
	for _, b := range cfg.Identity.Stores {
		c.stores[b.ID] = b.Store
	}
	for _, m := range cfg.Watermarks {
		c.marks[m.ID] = m
	}
	c.resetElection()
	c.startGreeting()
	return c
}

func (c *Core) restoreLog() {
	meta := c.snapshot.Meta
	c.log.reset(meta)
	base := meta.Membership
	if meta.Index == 0 {
		base = NewMembership(c.cfg.Identity.Initial)
	}
	c.members.reset(meta.Index, base)
	for _, e := range c.cfg.Entries {
		c.log.append(e)
		c.noteMembership(e)
	}
	c.log.persisted = c.log.last()
	c.log.committed = max(meta.Index, min(c.cfg.HardState.Commit, c.log.last()))
}

// Tick lets one tick of time pass.
func (c *Core) Tick() {
	if c.greeting.open {
		c.tickGreeting()
		return
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.electionTimeout {
		c.campaign()
	}
}

// Ready returns what has to be done now.
func (c *Core) Ready() Ready {
	rd := Ready{
		EarlyMessages: c.early,
		Messages:      c.messages,
		ReadStates:    c.readsDone,
		Snapshot:      c.newSnapshot,
		Entries:       c.log.slice(c.log.persisted+1, c.log.last(), math.MaxInt),
		Refused:       c.refused,
	}
	if c.identityChanged {
		id := c.Identity()
		rd.Identity = &id
	}
	if c.marksChanged {
		rd.Watermarks = c.sortedMarks()
	}
	hs := HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
	if c.mustSave(hs, &rd) {
		rd.HardState = &hs
	}
	if hs.Term != c.saved.Term {
		rd.holdEarly()
	}
	return rd
}

// mustSave leaves a change of the commit index alone to the next write.
func (c *Core) mustSave(hs HardState, rd *Ready) bool {
	if hs == c.saved {
		return false
	}
	return hs.Term != c.saved.Term || hs.Vote != c.saved.Vote || len(rd.Entries) > 0 || rd.Snapshot != nil
}

// HasReady tells whether Ready has something to do.
func (c *Core) HasReady() bool {
	return len(c.early) > 0 || len(c.messages) > 0 || len(c.readsDone) > 0 ||
		c.newSnapshot != nil || c.log.persisted < c.log.last() || c.identityChanged ||
		c.term != c.saved.Term || c.vote != c.saved.Vote || c.refused != RefusalNone
}

// Advance says that all of a Ready is on disk.
func (c *Core) Advance(rd Ready) {
	c.early = nil
	c.messages = nil
	c.readsDone = nil
	c.newSnapshot = nil
	c.identityChanged = false
	c.marksChanged = false
	if rd.HardState != nil {
		c.saved = *rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		c.log.persisted = rd.Entries[n-1].Index
	}
	if c.role == Leader && c.isVoter() {
		c.maybeCommit()
	}
}

// NextCommitted returns committed entries that were not returned yet, within
// a size, at least one if there is any.
func (c *Core) NextCommitted(maxBytes int) []Entry {
	es := c.log.slice(c.log.handed+1, min(c.log.committed, c.log.persisted), maxBytes)
	if n := len(es); n > 0 {
		c.log.handed = es[n-1].Index
	}
	return es
}

// Propose appends a command to the leader's log and returns its place.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferTo != 0 {
		return 0, 0, ErrTransferring
	}
	return c.appendOwn(Entry{Type: EntryCommand, Data: data}), c.term, nil
}

// Flush sends what proposals since the last call appended. A driver calls it
// after it has proposed a batch.
func (c *Core) Flush() {
	if c.role == Leader {
		c.sendAppends()
	}
}

func (c *Core) appendOwn(e Entry) uint64 {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.log.append(e)
	c.noteMembership(e)
	return e.Index
}

// Compact takes a snapshot of the state after an entry that was handed out.
// The log keeps some entries behind it for slow followers.
func (c *Core) Compact(index uint64, data []byte) (SnapshotMeta, bool) {
	term, ok := c.log.term(index)
	if !ok || index <= c.snapshot.Meta.Index || index > c.log.handed {
		return SnapshotMeta{}, false
	}
	meta := SnapshotMeta{Index: index, Term: term, Membership: c.members.at(index)}
	c.snapshot = Snapshot{Meta: meta, Data: data}
	c.log.compact(c.log.keepFrom(index, c.cfg.TrailingEntries, c.cfg.TrailingBytes))
	c.members.compact(c.log.baseIndex)
	return meta, true
}

// SnapshotMetaAt returns what a snapshot after an entry would be named.
func (c *Core) SnapshotMetaAt(index uint64) (SnapshotMeta, bool) {
	term, ok := c.log.term(index)
	if !ok || index <= c.snapshot.Meta.Index {
		return SnapshotMeta{}, false
	}
	return SnapshotMeta{Index: index, Term: term, Membership: c.members.at(index)}, true
}

// Identity returns what has to be on disk about stores.
func (c *Core) Identity() Identity {
	return Identity{Active: c.active, Initial: c.cfg.Identity.Initial, Stores: bindings(c.stores)}
}

// Membership returns the membership in force.
func (c *Core) Membership() Membership {
	return c.members.current()
}

func (c *Core) isVoter() bool {
	return c.Membership().IsVoter(c.id)
}

func (c *Core) sortedMarks() []Watermark {
	ms := make([]Watermark, 0, len(c.marks))
	for _, id := range slices.Sorted(maps.Keys(c.marks)) {
		ms = append(ms, c.marks[id])
	}
	return ms
}

func (c *Core) noteMembership(e Entry) {
	if e.Type != EntryMembership {
		return
	}
	ms, err := decodeMembership(e.Data)
	if err != nil {
		panic("raft: " + err.Error()) // entries are checksummed and written by a core
	}
	c.members.append(e.Index, ms)
	if c.role == Leader {
		c.syncProgress()
	}
}

// send queues a message that depends on what is synced.
func (c *Core) send(m Message) {
	c.messages = append(c.messages, c.stamp(m))
}

// sendEarly queues a leader's message, which depends on nothing unsynced.
func (c *Core) sendEarly(m Message) {
	c.early = append(c.early, c.stamp(m))
}

func (c *Core) stamp(m Message) Message {
	m.From = c.id
	m.Store = c.cfg.Store
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}
