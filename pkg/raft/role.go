package raft

// Role is the role of a replica in its term.
type Role string

// Roles.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)
