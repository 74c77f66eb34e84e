package raft

// Ready is the work of the driver, to be done in the order that the package comment
// gives.
type Ready struct {
	EarlyMessages []Message   // may be sent before the sync
	Identity      *Identity   // nil: unchanged
	Snapshot      *Snapshot   // nil: none; otherwise replaces the log and the applied state
	Entries       []Entry     // replace the stored entries from the index of the first one on
	HardState     *HardState  // nil: unchanged
	Watermarks    []Watermark // nil: unchanged; requires no sync of its own
	Messages      []Message   // must be sent after the sync
	ReadStates    []ReadState
	Refused       Refusal // if not RefusalNone, this replica must stop
}

// ReadState is the result of a ReadIndex request: the read may be served once Index
// is applied, or it failed if OK is false.
type ReadState struct {
	Token uint64
	Index uint64
	OK    bool
}

// deferEarlyMessages makes all messages wait for the sync, since the term is not yet
// durable.
func (r *Ready) deferEarlyMessages() {
	r.Messages = append(r.EarlyMessages, r.Messages...)
	r.EarlyMessages = nil
}

// MustSync reports whether anything has to be durable before Messages are sent. A
// change of the commit index alone requires no sync.
func (r *Ready) MustSync() bool {
	return r.Identity != nil || r.Snapshot != nil || len(r.Entries) > 0 || r.HardState != nil
}
