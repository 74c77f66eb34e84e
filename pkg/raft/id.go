package raft

// ID identifies a keeper replica. A replica that lost its disk gets a new ID.
type ID uint64
