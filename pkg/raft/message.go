package raft

// MessageType names what a Message carries.
type MessageType string

// Message types.
const (
	MessageAppend         MessageType = "append"
	MessageAppendReply    MessageType = "append-reply"
	MessageHeartbeat      MessageType = "heartbeat"
	MessageHeartbeatReply MessageType = "heartbeat-reply"
	MessagePreVote        MessageType = "pre-vote"
	MessagePreVoteReply   MessageType = "pre-vote-reply"
	MessageVote           MessageType = "vote"
	MessageVoteReply      MessageType = "vote-reply"
	MessageSnapshot       MessageType = "snapshot"
	MessageSnapshotReply  MessageType = "snapshot-reply"
	MessageTimeoutNow     MessageType = "timeout-now"
	MessageHello          MessageType = "hello"
	MessageHelloReply     MessageType = "hello-reply"
)

// Message is one message between replicas. Losing, repeating or reordering
// messages is harmless.
type Message struct {
	Type    MessageType `json:"type"`
	Cluster string      `json:"cluster,omitempty"` // set and checked by the driver
	From    ID          `json:"from"`
	Address string      `json:"address,omitempty"` // the sender's; set by the driver
	To      ID          `json:"to"`
	Store   uint64      `json:"store"` // the sender's store ID
	Term    uint64      `json:"term"`

	// Index and LogTerm name the entry before Entries in an append, and the
	// sender's last entry in votes and hellos. In replies Index is the
	// highest entry known to match.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"log_term,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`

	Reject bool   `json:"reject,omitempty"`
	Hint   uint64 `json:"hint,omitempty"`  // after a rejected append: where to try next
	Round  uint64 `json:"round,omitempty"` // heartbeat round, or nonce of a hello
	Force  bool   `json:"force,omitempty"` // vote of a transfer: passes over the leader's lease

	Chunk      *Chunk      `json:"chunk,omitempty"`
	Watermarks []Watermark `json:"marks,omitempty"`
	Leader     bool        `json:"leader,omitempty"` // hello reply: the sender leads
	Reason     Refusal     `json:"reason,omitempty"` // hello reply: why it was rejected
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Meta   SnapshotMeta `json:"meta"`
	Offset uint64       `json:"offset"` // bytes
	Size   uint64       `json:"size"`   // bytes of the whole snapshot
	Data   []byte       `json:"data"`
}

// Watermark is what others have seen a replica promise: the highest term, and the
// highest index that it acknowledged in that term.
type Watermark struct {
	ID    ID     `json:"id"`
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// behind tells whether a replica that holds term and index has lost what the
// mark saw. Terms on disk never fall, and within one term an acknowledged
// prefix is never cut.
func (m Watermark) behind(term, index uint64) bool {
	if term != m.Term {
		return term < m.Term
	}
	return index < m.Index
}
