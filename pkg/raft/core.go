package raft

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Core is the consensus state of one replica. It is not safe for concurrent use.
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

	electionElapsed    int
	electionTimeout    int
	heartbeatElapsed   int
	quorumCheckElapsed int
	votes              map[ID]bool

	progress     map[ID]*progress
	termStart    uint64 // index of the leader's first entry in its term
	round        uint64
	reads        readQueue
	transferTo   ID
	transferLeft int // ticks

	formerLeader        ID  // the last leader that this replica followed
	formerLeaderSilence int // ticks since its last message

	handshake  handshake
	watermarks map[ID]Watermark
	stores     map[ID]uint64
	active     bool

	savedState        HardState
	identityChanged   bool
	watermarksChanged bool
	earlyMessages     []Message
	messages          []Message
	readStates        []ReadState
	newSnapshot       *Snapshot
	refused           Refusal
}

// New returns a core that continues from the state in its directory.
func New(cfg Config) *Core {
	cfg.setDefaults()
	c := &Core{
		cfg:        cfg,
		id:         cfg.ID,
		rand:       cfg.Rand,
		role:       Follower,
		term:       cfg.HardState.Term,
		vote:       cfg.HardState.Vote,
		savedState: cfg.HardState,
		snapshot:   cfg.Snapshot,
		watermarks: map[ID]Watermark{},
		stores:     map[ID]uint64{},
		active:     cfg.Identity.Active || len(cfg.Identity.Initial) == 0,
	}
	c.restoreLog()
	for _, b := range cfg.Identity.Stores {
		c.stores[b.ID] = b.Store
	}
	for _, m := range cfg.Watermarks {
		c.watermarks[m.ID] = m
	}
	c.resetElection()
	c.startHandshake()
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
		c.trackMembership(e)
	}
	c.log.persisted = c.log.last()
	c.log.committed = max(meta.Index, min(c.cfg.HardState.Commit, c.log.last()))
}

// Tick advances the time by one tick.
func (c *Core) Tick() {
	if c.handshake.pending {
		c.tickHandshake()
		return
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	c.formerLeaderSilence++
	if c.electionElapsed >= c.electionTimeout {
		c.campaign()
	}
}

// Ready returns the work that the driver has to do now.
func (c *Core) Ready() Ready {
	rd := Ready{
		EarlyMessages: c.earlyMessages,
		Messages:      c.messages,
		ReadStates:    c.readStates,
		Snapshot:      c.newSnapshot,
		Entries:       c.log.slice(c.log.persisted+1, c.log.last(), math.MaxInt),
		Refused:       c.refused,
	}
	if c.identityChanged {
		id := c.Identity()
		rd.Identity = &id
	}
	if c.watermarksChanged {
		rd.Watermarks = c.sortedWatermarks()
	}
	hs := HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
	if c.needsHardState(hs, &rd) {
		rd.HardState = &hs
	}
	if hs.Term != c.savedState.Term {
		rd.deferEarlyMessages()
	}
	return rd
}

// needsHardState reports whether the hard state has to be written. A change of the
// commit index alone waits for the next write.
func (c *Core) needsHardState(hs HardState, rd *Ready) bool {
	if hs == c.savedState {
		return false
	}
	return hs.Term != c.savedState.Term || hs.Vote != c.savedState.Vote || len(rd.Entries) > 0 || rd.Snapshot != nil
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return len(c.earlyMessages) > 0 || len(c.messages) > 0 || len(c.readStates) > 0 ||
		c.newSnapshot != nil || c.log.persisted < c.log.last() || c.identityChanged ||
		c.term != c.savedState.Term || c.vote != c.savedState.Vote || c.refused != RefusalNone
}

// Advance records that everything in a Ready is durable.
func (c *Core) Advance(rd Ready) {
	c.earlyMessages = nil
	c.messages = nil
	c.readStates = nil
	c.newSnapshot = nil
	c.identityChanged = false
	c.watermarksChanged = false
	if rd.HardState != nil {
		c.savedState = *rd.HardState
	}
	if n := len(rd.Entries); n > 0 {
		c.log.persisted = rd.Entries[n-1].Index
	}
	if c.role == Leader && c.isVoter() {
		c.maybeCommit()
	}
}

// NextCommitted returns committed entries that it has not returned before, limited
// by size, but at least one if there is any.
func (c *Core) NextCommitted(maxBytes int) []Entry {
	es := c.log.slice(c.log.delivered+1, min(c.log.committed, c.log.persisted), maxBytes)
	if n := len(es); n > 0 {
		c.log.delivered = es[n-1].Index
	}
	return es
}

// Propose appends a command to the leader's log and returns its index and term.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferTo != 0 {
		return 0, 0, ErrTransferring
	}
	return c.appendOwn(Entry{Type: EntryCommand, Data: data}), c.term, nil
}

// Flush sends the entries that were proposed since the last call. The driver calls
// it after each batch of proposals.
func (c *Core) Flush() {
	if c.role == Leader {
		c.sendAppends()
	}
}

func (c *Core) appendOwn(e Entry) uint64 {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.log.append(e)
	c.trackMembership(e)
	return e.Index
}

// Compact records a snapshot of the state after a delivered entry and drops the
// entries before it, except for a tail for slow followers.
func (c *Core) Compact(index uint64, data []byte) (SnapshotMeta, bool) {
	term, ok := c.log.term(index)
	if !ok || index <= c.snapshot.Meta.Index || index > c.log.delivered {
		return SnapshotMeta{}, false
	}
	meta := SnapshotMeta{Index: index, Term: term, Membership: c.members.at(index)}
	c.snapshot = Snapshot{Meta: meta, Data: data}
	c.log.compact(c.log.compactionIndex(index, c.cfg.TrailingEntries, c.cfg.TrailingBytes))
	c.members.compact(c.log.baseIndex)
	return meta, true
}

// SnapshotMetaAt returns the metadata of a snapshot after an entry.
func (c *Core) SnapshotMetaAt(index uint64) (SnapshotMeta, bool) {
	term, ok := c.log.term(index)
	if !ok || index <= c.snapshot.Meta.Index {
		return SnapshotMeta{}, false
	}
	return SnapshotMeta{Index: index, Term: term, Membership: c.members.at(index)}, true
}

// Identity returns what has to be durable about stores.
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

func (c *Core) sortedWatermarks() []Watermark {
	ms := make([]Watermark, 0, len(c.watermarks))
	for _, id := range slices.Sorted(maps.Keys(c.watermarks)) {
		ms = append(ms, c.watermarks[id])
	}
	return ms
}

func (c *Core) trackMembership(e Entry) {
	if e.Type != EntryMembership {
		return
	}
	ms, err := decodeMembership(e.Data)
	if err != nil {
		panic("raft: " + err.Error()) // cannot happen: entries are checksummed and written by a core
	}
	c.members.append(e.Index, ms)
	if c.role == Leader {
		c.syncProgress()
	}
}

// sendAfterSync queues a message that depends on durable state.
func (c *Core) sendAfterSync(m Message) {
	c.messages = append(c.messages, c.withSender(m))
}

// sendBeforeSync queues a leader's message that does not depend on unsynced state.
func (c *Core) sendBeforeSync(m Message) {
	c.earlyMessages = append(c.earlyMessages, c.withSender(m))
}

func (c *Core) withSender(m Message) Message {
	m.From = c.id
	m.Store = c.cfg.Store
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}
