package raft

// Refusal is the reason why a replica may not take part. It is sent to that replica.
type Refusal string

// Reasons of refusals.
const (
	RefusalNone       Refusal = ""
	RefusalStore      Refusal = "its replica ID belongs to another store"
	RefusalRolledBack Refusal = "its folder is older than what it acknowledged"
	RefusalRemoved    Refusal = "it is no longer a member"
)
