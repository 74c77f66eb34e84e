package raft

// EntryType tells how an entry is applied.
type EntryType uint8

// Entry types.
const (
	EntryCommand    EntryType = iota // for the replicated state
	EntryNoop                        // first entry of a leader
	EntryMembership                  // Data is a Membership as JSON
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `json:"index"`
	Term  uint64    `json:"term"`
	Type  EntryType `json:"type,omitempty"`
	Data  []byte    `json:"data,omitempty"`
}

// entryOverhead is what an entry counts for beside its data, in bytes.
const entryOverhead = 32

func (e Entry) size() int {
	return len(e.Data) + entryOverhead
}
