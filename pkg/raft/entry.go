package raft

// EntryType defines how an entry is applied.
type EntryType uint8

// Entry types.
const (
	EntryCommand    EntryType = iota // a command for the replicated state
	EntryNoop                        // the first entry of a leader in its term
	EntryMembership                  // Data is a Membership as JSON
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `json:"index"`
	Term  uint64    `json:"term"`
	Type  EntryType `json:"type,omitempty"`
	Data  []byte    `json:"data,omitempty"`
}

// entryOverhead is the assumed size of an entry without its data, in bytes.
const entryOverhead = 32

func (e Entry) size() int {
	return len(e.Data) + entryOverhead
}
