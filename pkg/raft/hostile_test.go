package raft

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

var messageTypes = []MessageType{
	MessageAppend, MessageAppendReply, MessageHeartbeat, MessageHeartbeatReply,
	MessagePreVote, MessagePreVoteReply, MessageVote, MessageVoteReply,
	MessageSnapshot, MessageSnapshotReply, MessageTimeoutNow, MessageHello, MessageHelloReply,
}

// anyMessage has small numbers, so that they meet those of the core.
func anyMessage(t *rapid.T) Message {
	small := rapid.Uint64Range(0, 6)
	m := Message{
		Type:    rapid.SampledFrom(messageTypes).Draw(t, "type"),
		From:    ID(rapid.Uint64Range(1, 4).Draw(t, "from")),
		To:      1,
		Store:   small.Draw(t, "store"),
		Term:    small.Draw(t, "term"),
		Index:   small.Draw(t, "index"),
		LogTerm: small.Draw(t, "log term"),
		Commit:  small.Draw(t, "commit"),
		Reject:  rapid.Bool().Draw(t, "reject"),
		Hint:    small.Draw(t, "hint"),
		Round:   small.Draw(t, "round"),
		Force:   rapid.Bool().Draw(t, "force"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		e := Entry{Index: small.Draw(t, "entry"), Term: small.Draw(t, "entry term"), Type: EntryType(rapid.IntRange(0, 3).Draw(t, "kind"))}
		e.Data = rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "data")
		m.Entries = append(m.Entries, e)
	}
	if rapid.Bool().Draw(t, "chunk") {
		m.Chunk = &Chunk{Offset: small.Draw(t, "offset"), Size: small.Draw(t, "size"), Data: []byte("abc")}
		m.Chunk.Meta = SnapshotMeta{Index: small.Draw(t, "meta index"), Term: small.Draw(t, "meta term")}
		m.Chunk.Meta.Membership = NewMembership([]Member{{ID: 1}, {ID: 2}, {ID: 3}})
	}
	return m
}

// No message breaks a core, whatever it holds.
func TestCoreBearsAnyMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := voterOf(3, 0, 1, 1, 2)
		if rapid.Bool().Draw(t, "leads") {
			lead(c)
		}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			c.Step(anyMessage(t))
			settle(c)
			c.NextCommitted(100)
			if c.log.committed > c.log.last() || c.log.handed > c.log.committed {
				t.Fatalf("handed %d, committed %d, last %d", c.log.handed, c.log.committed, c.log.last())
			}
		}
	})
}

// Messages travel as JSON.
func TestMessageKeepsItselfInJSON(t *testing.T) {
	m := Message{
		Type: MessageSnapshot, Cluster: "c", From: 1, Address: "a:1", To: 2, Store: 1<<63 + 1, Term: 3,
		Index: 4, LogTerm: 5, Entries: []Entry{{Index: 6, Term: 7, Type: EntryNoop, Data: []byte{0, 255}}},
		Commit: 8, Reject: true, Hint: 9, Round: 1<<64 - 1, Force: true,
		Chunk:      &Chunk{Meta: SnapshotMeta{Index: 1, Term: 2, Membership: NewMembership([]Member{{ID: 1, Address: "a:1", Store: 5}})}, Offset: 3, Size: 4, Data: []byte{5}},
		Watermarks: []Watermark{{ID: 1, Term: 2, Index: 3}},
		Leader:     true, Reason: RefusalStore,
	}
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var back Message
	if err := json.Unmarshal(data, &back); err != nil || !reflect.DeepEqual(m, back) {
		t.Fatalf("%+v, %v", back, err)
	}
}
