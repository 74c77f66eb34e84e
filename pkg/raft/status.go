package raft

// Status is the state of a core for display.
type Status struct {
	ID           ID
	Role         Role
	Term         uint64
	Leader       ID
	Last         uint64
	Committed    uint64
	Delivered    uint64 // highest index passed to the state machine
	Snapshot     uint64
	Handshaking  bool // the replica may not take part yet
	Transferring bool
	Membership   Membership
	// CommittedMembership is the membership by the entries that are committed.
	CommittedMembership Membership
	Followers           []FollowerStatus // set on the leader only
}

// FollowerStatus is the leader's record of a follower, for display.
type FollowerStatus struct {
	ID       ID
	Match    uint64
	Snapshot bool // a snapshot is being sent
	Active   bool
	// SilentTicks counts the ticks of the leader since it heard of the follower last, or since the
	// follower became a member, if that is later.
	SilentTicks int
	// CaughtUp is whether the follower holds enough of the log to be promoted.
	CaughtUp bool
}

// Status returns the current state.
func (c *Core) Status() Status {
	s := Status{
		ID:           c.id,
		Role:         c.role,
		Term:         c.term,
		Leader:       c.leader,
		Last:         c.log.last(),
		Committed:    c.log.committed,
		Delivered:    c.log.delivered,
		Snapshot:     c.snapshot.Meta.Index,
		Handshaking:  c.handshake.pending,
		Transferring: c.transferTo != 0,
		Membership:   c.Membership(),

		CommittedMembership: c.members.at(c.log.committed),
	}
	if c.role != Leader {
		return s
	}
	for _, id := range c.peers() {
		p := c.progress[id]
		s.Followers = append(s.Followers, FollowerStatus{
			ID: id, Match: p.match, Snapshot: p.snapshot, Active: p.active, SilentTicks: p.silentTicks, CaughtUp: c.caughtUp(p),
		})
	}
	return s
}

// BasicStatus is the part of the status that a driver polls often.
type BasicStatus struct {
	Role       Role
	Term       uint64
	Leader     ID
	NextLeader ID // target of a running leadership transfer, otherwise Leader
	Committed  uint64
}

// BasicStatus returns the basic status.
func (c *Core) BasicStatus() BasicStatus {
	next := c.leader
	if c.transferTo != 0 {
		next = c.transferTo
	}
	return BasicStatus{Role: c.role, Term: c.term, Leader: c.leader, NextLeader: next, Committed: c.log.committed}
}

// CommittedInTerm reports whether this replica is the leader and has committed an
// entry of its term.
func (c *Core) CommittedInTerm() bool {
	return c.role == Leader && c.log.committed >= c.termStart
}
