package raft

// Refusal says why a replica may not take part.
type Refusal string

// Refusals.
const (
	RefusalNone       Refusal = ""
	RefusalStore      Refusal = "its replica ID belongs to another store"
	RefusalRolledBack Refusal = "its folder is older than what it acknowledged"
	RefusalRemoved    Refusal = "it is no longer a member"
)
