package raft

import "github.com/rotisserie/eris"

var (
	// ErrNotLeader is returned when the replica is not the leader; nothing was done.
	ErrNotLeader = eris.New("not the leader")
	// ErrTransferring is returned while leadership is being transferred; nothing was
	// done.
	ErrTransferring = eris.New("leadership is being transferred")
	// ErrChangePending is returned while a membership change is uncommitted, or
	// until the leader has committed an entry of its term.
	ErrChangePending = eris.New("a membership change is pending")
	// ErrIDUsed is returned for a replica ID that is not above all IDs used so far.
	ErrIDUsed = eris.New("replica ID was used before; take a higher one")
	// ErrNotMember is returned for a replica ID that is not in the membership.
	ErrNotMember = eris.New("not a member")
	// ErrLastVoter is returned for an attempt to remove the last voter.
	ErrLastVoter = eris.New("the last voter can't be removed")
	// ErrLearnerBehind is returned when a learner lacks too much to be promoted.
	ErrLearnerBehind = eris.New("learner is behind")
)
