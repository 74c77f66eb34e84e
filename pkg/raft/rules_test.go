package raft

import (
	"errors"
	"math/rand/v2"
	"testing"
)

// voterOf returns replica 1 of a cluster. Its log holds one entry for each of the
// given terms.
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

// syncAll completes all pending work and returns the messages sent.
func syncAll(c *Core) []Message {
	var sent []Message
	for c.HasReady() {
		rd := c.Ready()
		sent = append(sent, rd.EarlyMessages...)
		c.Advance(rd)
		sent = append(sent, rd.Messages...)
	}
	return sent
}

// makeLeader makes replica 1 the leader by the votes of replica 2.
func makeLeader(c *Core) {
	for c.role == Follower {
		c.Tick()
	}
	syncAll(c)
	c.Step(Message{Type: MessagePreVoteReply, From: 2, To: 1, Term: c.term + 1})
	syncAll(c)
	c.Step(Message{Type: MessageVoteReply, From: 2, To: 1, Term: c.term})
	syncAll(c)
}

func ack(c *Core, from ID, index uint64) {
	c.Step(Message{Type: MessageAppendReply, From: from, To: 1, Term: c.term, Index: index})
	syncAll(c)
}

func TestEntriesOfOldTermsCommitOnlyWithOneOfThisTerm(t *testing.T) {
	c := voterOf(3, 0, 1, 2)
	makeLeader(c)
	ack(c, 2, 2)
	if c.log.committed != 0 {
		t.Fatalf("committed %d with an entry of an old term only", c.log.committed)
	}
	ack(c, 2, 3)
	if c.log.committed != 3 {
		t.Fatalf("committed %d, want 3", c.log.committed)
	}
}

func TestNoMembershipChangeBeforeACommitOfThisTerm(t *testing.T) {
	c := voterOf(3, 0)
	makeLeader(c)
	if _, _, err := c.AddLearner(9, "sim"); !errors.Is(err, ErrChangePending) {
		t.Fatalf("change before a commit in this term: %v", err)
	}
	ack(c, 2, 1)
	if _, _, err := c.AddLearner(9, "sim"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.Remove(3); !errors.Is(err, ErrChangePending) {
		t.Fatalf("second change before the first is committed: %v", err)
	}
}

func TestLeaderCountsItselfOnlyAfterSync(t *testing.T) {
	c := voterOf(3, 0)
	makeLeader(c)
	ack(c, 2, 1)
	index, _, _ := c.Propose(nil)
	c.Flush()
	c.Step(Message{Type: MessageAppendReply, From: 2, To: 1, Term: c.term, Index: index})
	if c.log.committed >= index {
		t.Fatal("committed by one synced copy of three")
	}
	syncAll(c)
	if c.log.committed != index {
		t.Fatalf("committed %d, want %d", c.log.committed, index)
	}
}

func TestSnapshotOfAPresentPrefixKeepsTheTail(t *testing.T) {
	c := voterOf(3, 0, 1, 1, 1, 1, 1)
	meta := SnapshotMeta{Index: 3, Term: 1, Membership: NewMembership([]Member{{ID: 1}})}
	c.Step(Message{Type: MessageSnapshot, From: 2, To: 1, Term: 1, Chunk: &Chunk{Meta: meta}})
	if c.log.last() != 5 || c.newSnapshot != nil {
		t.Fatalf("log ends at %d, want 5 without a snapshot installed", c.log.last())
	}
	if c.log.committed != 3 {
		t.Fatalf("committed %d, want 3", c.log.committed)
	}
}

func TestTrailingEntriesAreBounded(t *testing.T) {
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
		if got := l.compactionIndex(9, tc.entries, tc.bytes); got != tc.want {
			t.Errorf("%d entries, %d bytes: up to %d, want %d", tc.entries, tc.bytes, got, tc.want)
		}
	}
}

func TestMembershipOfATruncatedEntryIsReverted(t *testing.T) {
	c := voterOf(3, 0)
	next, err := c.Membership().withLearner(7, "sim")
	if err != nil {
		t.Fatal(err)
	}
	change := Entry{Index: 1, Term: 1, Type: EntryMembership, Data: next.encode()}
	c.Step(Message{Type: MessageAppend, From: 2, To: 1, Term: 1, Entries: []Entry{change}})
	if _, ok := c.Membership().Member(7); !ok {
		t.Fatal("the membership is not in force after the append")
	}
	c.Step(Message{Type: MessageAppend, From: 3, To: 1, Term: 2, Entries: []Entry{{Index: 1, Term: 2}}})
	if _, ok := c.Membership().Member(7); ok {
		t.Fatal("the membership is still in force after the truncation")
	}
}

// A single voter must have synced its term before a learner receives it.
func TestLoneVoterSendsNothingBeforeItsTermIsSynced(t *testing.T) {
	c := voterOf(1, 1)
	for c.role != Leader {
		c.Tick()
	}
	rd := c.Ready()
	if len(rd.EarlyMessages) > 0 || len(rd.Messages) == 0 {
		t.Fatalf("%d messages before the sync, want 0; %d after it, want some", len(rd.EarlyMessages), len(rd.Messages))
	}
}

// What a learner acknowledged with one store does not count for another store.
func TestLearnerWithANewStoreStartsOver(t *testing.T) {
	c := voterOf(2, 1)
	makeLeader(c)
	ack(c, 2, 1)
	from := func(store, index uint64, reject bool) {
		c.Step(Message{
			Type: MessageAppendReply, From: 3, To: 1, Store: store, Term: c.term,
			Index: index, Hint: 1, Reject: reject,
		})
		syncAll(c)
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
		t.Fatalf("recorded store %d, want 88", m.Store)
	}
}

// Read rounds do not resend appends; a heartbeat interval without an acknowledgement
// does.
func TestLostAppendsAreRetransmittedAfterAHeartbeatInterval(t *testing.T) {
	c := voterOf(3, 0)
	makeLeader(c)
	ack(c, 2, 1)
	if _, _, err := c.Propose(nil); err != nil {
		t.Fatal(err)
	}
	c.Flush()
	syncAll(c)
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
		if n := appends(syncAll(c)); n > 0 {
			t.Fatalf("a read round resent %d appends", n)
		}
	}
	repeated := 0
	for range 3 * c.cfg.HeartbeatTicks {
		c.Step(Message{Type: MessageHeartbeatReply, From: 2, To: 1, Term: c.term})
		c.Tick()
		repeated += appends(syncAll(c))
	}
	if repeated == 0 {
		t.Fatal("a lost append was never resent")
	}
}

func TestDeposedLeaderLearnsTheTerm(t *testing.T) {
	c := voterOf(3, 0, 5)
	c.Step(Message{Type: MessageHeartbeat, From: 2, To: 1, Term: 4})
	sent := syncAll(c)
	if len(sent) != 1 || sent[0].Term != 5 || !sent[0].Reject {
		t.Fatalf("sent %+v, want one rejection in term 5", sent)
	}
}

func TestWatermarkDetectsOnlyLostState(t *testing.T) {
	watermark := Watermark{ID: 1, Term: 4, Index: 10}
	cases := []struct {
		name        string
		term, index uint64
		behind      bool
	}{
		{"same", 4, 10, false},
		{"longer", 4, 11, false},
		{"entry lost", 4, 9, true},
		{"term lost", 3, 20, true},
		{"truncated by a later leader", 5, 2, false},
	}
	for _, tc := range cases {
		if got := watermark.behind(tc.term, tc.index); got != tc.behind {
			t.Errorf("%s: behind is %v", tc.name, got)
		}
	}
}

func TestMembershipWithoutVotersIsDropped(t *testing.T) {
	c := voterOf(3, 0)
	empty := Entry{Index: 1, Term: 1, Type: EntryMembership, Data: Membership{}.encode()}
	c.Step(Message{Type: MessageAppend, From: 2, To: 1, Term: 1, Entries: []Entry{empty}})
	syncAll(c)
	if c.log.last() != 0 || len(c.Membership().Voters()) != 3 {
		t.Fatalf("%d voters, want 3; log ends at %d, want 0", len(c.Membership().Voters()), c.log.last())
	}
}

// voters returns the voters of a cluster whose logs are empty.
func voters(size int) []*Core {
	var cores []*Core
	for id := ID(1); int(id) <= size; id++ {
		c := voterOf(size, 0)
		c.id, c.cfg.ID = id, id
		cores = append(cores, c)
	}
	return cores
}

// deliverAll exchanges messages between cores until there are none left. Messages to others are lost.
func deliverAll(cores []*Core) {
	for {
		var sent []Message
		for _, c := range cores {
			sent = append(sent, syncAll(c)...)
		}
		if len(sent) == 0 {
			return
		}
		for _, m := range sent {
			for _, c := range cores {
				if c.id == m.To {
					c.Step(m)
				}
			}
		}
	}
}

func leaders(cores []*Core) int {
	n := 0
	for _, c := range cores {
		if c.role == Leader {
			n++
		}
	}
	return n
}

func TestVotersThatCampaignAtOnceElectALeaderInTheSameRound(t *testing.T) {
	for name, living := range map[string][2]int{"two of three": {2, 3}, "eight of nine": {8, 9}, "all of nine": {9, 9}} {
		t.Run(name, func(t *testing.T) {
			cores := voters(living[1])[:living[0]]
			for _, c := range cores {
				c.campaign()
			}
			deliverAll(cores)
			if n := leaders(cores); n != 1 {
				t.Errorf("%d leaders after the first round", n)
			}
		})
	}
}

func TestWithdrawnCampaignIsRepeatedIfNobodyIsElected(t *testing.T) {
	cores := voters(3)
	withdrawn := cores[1]
	withdrawn.campaign()
	syncAll(withdrawn)
	withdrawn.Step(Message{Type: MessagePreVote, From: 1, To: 2, Term: withdrawn.term + 1})
	syncAll(withdrawn)
	for range withdrawn.cfg.ElectionTicks {
		withdrawn.Tick()
	}
	if withdrawn.role != PreCandidate {
		t.Errorf("the replica is a %v again", withdrawn.role)
	}
}
