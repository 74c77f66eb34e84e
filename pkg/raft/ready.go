package raft

// Ready is what the driver must do, in the order that the package tells.
type Ready struct {
	EarlyMessages []Message   // may be sent before anything is synced
	Identity      *Identity   // nil: unchanged
	Snapshot      *Snapshot   // nil: none; replaces the log and the applied state
	Entries       []Entry     // replace what the log holds from the first one's index
	HardState     *HardState  // nil: unchanged
	Watermarks    []Watermark // nil: unchanged; needs no sync of its own
	Messages      []Message   // send after the sync
	ReadStates    []ReadState
	Refused       Refusal // not RefusalNone: this replica must end
}

// ReadState tells that a ReadIndex request may be served once Index is applied, or
// that it failed.
type ReadState struct {
	Token uint64
	Index uint64
	OK    bool
}

// holdEarly lets all messages wait for the sync: the term isn't on disk yet.
func (r *Ready) holdEarly() {
	r.Messages = append(r.EarlyMessages, r.Messages...)
	r.EarlyMessages = nil
}

// MustSync tells whether anything has to be on disk before Messages go out.
// A commit index alone needs no sync.
func (r *Ready) MustSync() bool {
	return r.Identity != nil || r.Snapshot != nil || len(r.Entries) > 0 || r.HardState != nil
}
