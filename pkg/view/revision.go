package view

// Revision numbers the published states of the system. Zero means that nothing was
// published or installed yet.
type Revision uint64

// Time is a point in replicated time, in nanoseconds since the Unix epoch as
// proposed by a leader. It never decreases along the log.
type Time int64
