package raft

// Step handles a message from another replica.
func (c *Core) Step(m Message) {
	if m.To != c.id || m.From == c.id || c.refused != RefusalNone || !m.isWellFormed() {
		return
	}
	if m.Type == MessageHello {
		c.stepHello(m)
		return
	}
	if !c.knownStore(m.From, m.Store) {
		return
	}
	if m.Type == MessageHelloReply {
		c.stepHelloReply(m)
		return
	}
	if c.handshake.pending {
		c.sendHello(m.From)
		return
	}
	if m.Type == MessagePreVote && c.removed(m.From) {
		c.sendRemoved(m.From)
		return
	}
	if c.stepTerm(m) {
		c.dispatch(m)
	}
}

// knownStore reports whether a message of replica id may come from a store.
func (c *Core) knownStore(id ID, store uint64) bool {
	if c.cfg.Unsafe.NoIdentityCheck {
		return true
	}
	known := c.storeOf(id)
	return known == 0 || known == store
}

func (c *Core) storeOf(id ID) uint64 {
	if m, ok := c.Membership().Member(id); ok && m.Store != 0 {
		return m.Store
	}
	return c.stores[id]
}

// stepTerm compares the terms and reports whether the message is to be handled in the
// current term.
func (c *Core) stepTerm(m Message) bool {
	switch {
	case m.Type == MessagePreVote:
		return c.stepPreVoteTerm(m)
	case m.Type == MessagePreVoteReply && !m.Reject:
		return true // carries the term of the coming election
	case m.Term > c.term:
		return c.stepHigherTerm(m)
	case m.Term < c.term:
		c.rejectStaleTerm(m)
		return false
	}
	return true
}

func (c *Core) stepPreVoteTerm(m Message) bool {
	if m.Term < c.term {
		c.sendAfterSync(Message{Type: MessagePreVoteReply, To: m.From, Reject: true})
		return false
	}
	return true
}

func (c *Core) stepHigherTerm(m Message) bool {
	if m.Type == MessageVote && !m.Force && c.leaseHeld() {
		return false
	}
	leader := ID(0)
	if fromLeader(m.Type) {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// rejectStaleTerm informs a deposed leader of the higher term.
func (c *Core) rejectStaleTerm(m Message) {
	if fromLeader(m.Type) {
		c.sendAfterSync(Message{Type: MessageAppendReply, To: m.From, Reject: true})
	}
}

func fromLeader(t MessageType) bool {
	return t == MessageAppend || t == MessageHeartbeat || t == MessageSnapshot
}

// leaseHeld reports whether a leader was heard from within the shortest election
// timeout, or this replica is the leader.
func (c *Core) leaseHeld() bool {
	if c.cfg.Unsafe.NoCheckQuorum {
		return false
	}
	if c.role == Leader {
		return true
	}
	return c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

func (c *Core) dispatch(m Message) {
	if fromLeader(m.Type) {
		c.followLeader(m.From)
	}
	switch m.Type {
	case MessageAppend:
		c.stepAppend(m)
	case MessageHeartbeat:
		c.stepHeartbeat(m)
	case MessageSnapshot:
		c.stepSnapshot(m)
	case MessagePreVote:
		c.stepPreVote(m)
	case MessageVote:
		c.stepVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		c.stepVoteReply(m)
	case MessageTimeoutNow:
		c.stepTimeoutNow()
	case MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		c.stepReply(m)
	}
}

// followLeader accepts the sender as the leader of this term.
func (c *Core) followLeader(leader ID) {
	if c.role != Follower {
		c.becomeFollower(c.term, leader)
	}
	c.leader = leader
	c.electionElapsed = 0
	c.formerLeader, c.formerLeaderSilence = leader, 0
}
