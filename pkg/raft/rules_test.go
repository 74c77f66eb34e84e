package raft

import (
	"errors"
	"math/rand/v2"
	"testing"
)

// voterOf returns replica 1 of a cluster with the given entries on disk, all
// of terms as listed.
func voterOf(size int, learners int, terms ...uint64) *Core {
	var ms []Member
	for id := ID(1); int(id) <= size+learners; id++ {
		ms = append(ms, Member{ID: id, Address: "sim", Learner: int(id) > size})
	}
	cfg := Config{
		ID:          1,
		Incarnation: 2,
		Identity:    Identity{Active: true, Initial: ms},
		Rand:        rand.New(rand.NewPCG(1, 1)),
		Unsafe:      Unsafe{NoIdentityCheck: true},
	}
	for i, term := range terms {
		cfg.Entries = append(cfg.Entries, Entry{Index: uint64(i) + 1, Term: term})
		cfg.HardState.Term = term
	}
	return New(cfg)
}

// settle syncs everything and returns what was sent.
func settle(c *Core) []Message {
	var sent []Message
	for c.HasReady() {
		rd := c.Ready()
		sent = append(sent, rd.EarlyMessages...)
		c.Advance(rd)
		sent = append(sent, rd.Messages...)
	}
	return sent
}

// lead makes replica 1 the leader by the votes of replica 2.
func lead(c *Core) {
	for c.role == Follower {
		c.Tick()
	}
	settle(c)
	c.Step(Message{Type: MessagePreVoteReply, From: 2, To: 1, Term: c.term + 1})
	settle(c)
	c.Step(Message{Type: MessageVoteReply, From: 2, To: 1, Term: c.term})
	settle(c)
}

func ack(c *Core, from ID, index uint64) {
	c.Step(Message{Type: MessageAppendReply, From: from, To: 1, Term: c.term, Index: index})
	settle(c)
}

func TestEntriesOfOldTermsCommitOnlyWithOneOfThisTerm(t *testing.T) {
	c := voterOf(3, 0, 1, 2)
	lead(c)
	ack(c, 2, 2)
	if c.log.committed != 0 {
		t.Fatalf("committed %d on an old term's entry", c.log.committed)
	}
	ack(c, 2, 3)
	if c.log.committed != 3 {
		t.Fatalf("committed %d", c.log.committed)
	}
}

func TestNoMembershipChangeBeforeACommitOfThisTerm(t *testing.T) {
	c := voterOf(3, 0)
	lead(c)
	if _, _, err := c.AddLearner(9, "sim"); !errors.Is(err, ErrChangePending) {
		t.Fatalf("before the commit: %v", err)
	}
	ack(c, 2, 1)
	if _, _, err := c.AddLearner(9, "sim"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.Remove(3); !errors.Is(err, ErrChangePending) {
		t.Fatalf("second change: %v", err)
	}
}

func TestLeaderCountsItselfOnlyOnceSynced(t *testing.T) {
	c := voterOf(3, 0)
	lead(c)
	ack(c, 2, 1)
	index, _, _ := c.Propose(nil)
	c.Flush()
	c.Step(Message{Type: MessageAppendReply, From: 2, To: 1, Term: c.term, Index: index})
	if c.log.committed >= index {
		t.Fatal("committed by one synced copy of three")
	}
	settle(c)
	if c.log.committed != index {
		t.Fatalf("committed %d of %d", c.log.committed, index)
	}
}

func TestSnapshotOfAHeldPrefixKeepsTheTail(t *testing.T) {
	c := voterOf(3, 0, 1, 1, 1, 1, 1)
	meta := SnapshotMeta{Index: 3, Term: 1, Membership: NewMembership([]Member{{ID: 1}})}
	c.Step(Message{Type: MessageSnapshot, From: 2, To: 1, Term: 1, Chunk: &Chunk{Meta: meta}})
	if c.log.last() != 5 || c.newSnapshot != nil {
		t.Fatalf("log ends at %d", c.log.last())
	}
	if c.log.committed != 3 {
		t.Fatalf("committed %d", c.log.committed)
	}
}

func TestTailBehindASnapshotIsBounded(t *testing.T) {
	var l entryLog
	for i := uint64(1); i <= 10; i++ {
		l.append(Entry{Index: i, Data: make([]byte, 100-entryOverhead)})
	}
	cases := []struct {
		entries uint64
		bytes   int
		want    uint64
	}{{3, 1000, 6}, {20, 1000, 0}, {20, 250, 7}, {20, 50, 9}}
	for _, tc := range cases {
		if got := l.keepFrom(9, tc.entries, tc.bytes); got != tc.want {
			t.Errorf("%d entries, %d bytes: up to %d, want %d", tc.entries, tc.bytes, got, tc.want)
		}
	}
}

func TestMembershipOfACutEntryIsTakenBack(t *testing.T) {
	c := voterOf(3, 0)
	next, err := c.Membership().withLearner(7, "sim")
	if err != nil {
		t.Fatal(err)
	}
	change := Entry{Index: 1, Term: 1, Type: EntryMembership, Data: next.encode()}
	c.Step(Message{Type: MessageAppend, From: 2, To: 1, Term: 1, Entries: []Entry{change}})
	if _, ok := c.Membership().Member(7); !ok {
		t.Fatal("not in force when appended")
	}
	c.Step(Message{Type: MessageAppend, From: 3, To: 1, Term: 2, Entries: []Entry{{Index: 1, Term: 2}}})
	if _, ok := c.Membership().Member(7); ok {
		t.Fatal("still in force after the cut")
	}
}

// A lone voter's term is on disk before a learner hears of it.
func TestLoneVoterSendsNothingBeforeItsTermIsSynced(t *testing.T) {
	c := voterOf(1, 1)
	for c.role != Leader {
		c.Tick()
	}
	rd := c.Ready()
	if len(rd.EarlyMessages) > 0 || len(rd.Messages) == 0 {
		t.Fatalf("%d early messages, %d after the sync", len(rd.EarlyMessages), len(rd.Messages))
	}
}

// What a learner acknowledged from one store doesn't count for another.
func TestLearnerWithANewStoreStartsAnew(t *testing.T) {
	c := voterOf(2, 1)
	lead(c)
	ack(c, 2, 1)
	from := func(store, index uint64, reject bool) {
		c.Step(Message{
			Type: MessageAppendReply, From: 3, To: 1, Store: store, Term: c.term,
			Index: index, Hint: 1, Reject: reject,
		})
		settle(c)
	}
	from(77, 1, false)
	from(88, 1, true)
	if _, _, err := c.Promote(3); !errors.Is(err, ErrLearnerBehind) {
		t.Fatalf("promoted on another store's acknowledgement: %v", err)
	}
	from(88, 1, false)
	if _, _, err := c.Promote(3); err != nil {
		t.Fatal(err)
	}
	if m, _ := c.Membership().Member(3); m.Store != 88 {
		t.Fatalf("recorded store %d", m.Store)
	}
}

// Rounds of reads don't repeat appends; a heartbeat interval without an
// acknowledgement does.
func TestLostAppendsAreSentAgainByTime(t *testing.T) {
	c := voterOf(3, 0)
	lead(c)
	ack(c, 2, 1)
	if _, _, err := c.Propose(nil); err != nil {
		t.Fatal(err)
	}
	c.Flush()
	settle(c)
	appends := func(ms []Message) int {
		n := 0
		for _, m := range ms {
			if m.Type == MessageAppend && m.To == 2 && len(m.Entries) > 0 {
				n++
			}
		}
		return n
	}
	for token := range uint64(5) {
		c.ReadIndex(token)
		c.Step(Message{Type: MessageHeartbeatReply, From: 2, To: 1, Term: c.term, Round: c.round})
		if n := appends(settle(c)); n > 0 {
			t.Fatalf("a round of reads repeated %d appends", n)
		}
	}
	repeated := 0
	for range 3 * c.cfg.HeartbeatTicks {
		c.Step(Message{Type: MessageHeartbeatReply, From: 2, To: 1, Term: c.term})
		c.Tick()
		repeated += appends(settle(c))
	}
	if repeated == 0 {
		t.Fatal("a lost append is never sent again")
	}
}

func TestDeposedLeaderLearnsTheTerm(t *testing.T) {
	c := voterOf(3, 0, 5)
	c.Step(Message{Type: MessageHeartbeat, From: 2, To: 1, Term: 4})
	sent := settle(c)
	if len(sent) != 1 || sent[0].Term != 5 || !sent[0].Reject {
		t.Fatalf("answered %+v", sent)
	}
}

func TestMarkIsEvidenceOnlyOfLostPromises(t *testing.T) {
	mark := Watermark{ID: 1, Term: 4, Index: 10}
	cases := []struct {
		name        string
		term, index uint64
		behind      bool
	}{
		{"same", 4, 10, false},
		{"longer", 4, 11, false},
		{"entry lost", 4, 9, true},
		{"term lost", 3, 20, true},
		{"cut by a later leader", 5, 2, false},
	}
	for _, tc := range cases {
		if got := mark.behind(tc.term, tc.index); got != tc.behind {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

func TestMembershipWithoutVotersIsDropped(t *testing.T) {
	c := voterOf(3, 0)
	empty := Entry{Index: 1, Term: 1, Type: EntryMembership, Data: Membership{}.encode()}
	c.Step(Message{Type: MessageAppend, From: 2, To: 1, Term: 1, Entries: []Entry{empty}})
	settle(c)
	if c.log.last() != 0 || len(c.Membership().Voters()) != 3 {
		t.Fatalf("%d voters, log ends at %d", len(c.Membership().Voters()), c.log.last())
	}
}
