package raft

import "github.com/rotisserie/eris"

var (
	// ErrNotLeader says that only the leader may do this; nothing was done.
	ErrNotLeader = eris.New("not the leader")
	// ErrTransferring says that leadership is being handed over; nothing was
	// done.
	ErrTransferring = eris.New("leadership is being transferred")
	// ErrChangePending says that a membership change is under way, or that
	// the leader has not committed an entry of its term yet.
	ErrChangePending = eris.New("a membership change is pending")
	// ErrIDUsed says that a replica ID isn't above all IDs used so far.
	ErrIDUsed = eris.New("replica ID was used before; take a higher one")
	// ErrNotMember says that a replica ID isn't in the membership.
	ErrNotMember = eris.New("not a member")
	// ErrLastVoter says that the last voter can't be removed.
	ErrLastVoter = eris.New("the last voter can't be removed")
	// ErrLearnerBehind says that a learner holds too little to be promoted.
	ErrLearnerBehind = eris.New("learner is behind")
)
