package raft

// Status is a core's state for display.
type Status struct {
	ID           ID
	Role         Role
	Term         uint64
	Leader       ID
	Last         uint64
	Committed    uint64
	Delivered    uint64 // highest index given to the applier
	Snapshot     uint64
	Handshaking  bool // it may not take part yet
	Transferring bool
	Membership   Membership
	Followers    []FollowerStatus // on the leader
}

// FollowerStatus is what the leader knows of a follower.
type FollowerStatus struct {
	ID       ID
	Match    uint64
	Snapshot bool // being sent one
	Active   bool
}

// Status returns the state now.
func (c *Core) Status() Status {
	s := Status{
		ID:           c.id,
		Role:         c.role,
		Term:         c.term,
		Leader:       c.leader,
		Last:         c.log.last(),
		Committed:    c.log.committed,
		Delivered:    c.log.handed,
		Snapshot:     c.snapshot.Meta.Index,
		Handshaking:  c.greeting.open,
		Transferring: c.transferTo != 0,
		Membership:   c.Membership(),
	}
	if c.role != Leader {
		return s
	}
	for _, id := range c.peers() {
		p := c.progress[id]
		s.Followers = append(s.Followers, FollowerStatus{ID: id, Match: p.match, Snapshot: p.snapshot, Active: p.active})
	}
	return s
}

// BasicStatus is the part of the state that a driver asks for often.
type BasicStatus struct {
	Role       Role
	Term       uint64
	Leader     ID
	NextLeader ID // the target while leadership is transferred, else Leader
	Committed  uint64
}

// BasicStatus returns the state in short.
func (c *Core) BasicStatus() BasicStatus {
	next := c.leader
	if c.transferTo != 0 {
		next = c.transferTo
	}
	return BasicStatus{Role: c.role, Term: c.term, Leader: c.leader, NextLeader: next, Committed: c.log.committed}
}

// CommittedInTerm tells whether this replica leads and has committed an entry of
// its term.
func (c *Core) CommittedInTerm() bool {
	return c.role == Leader && c.log.committed >= c.termStart
}
