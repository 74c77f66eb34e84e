package raft

// Role is what a replica is in its term.
type Role string

// Roles.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)
