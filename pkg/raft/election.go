package raft

func (c *Core) becomeFollower(term uint64, leader ID) {
	if term > c.term {
		c.term = term
		c.vote = 0
	}
	if c.role == Leader {
		c.dropLeadership()
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.resetElection()
}

func (c *Core) resetElection() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + 1 + c.rand.IntN(c.cfg.ElectionTicks)
}

// resetCampaign sets a shorter timeout than that of a follower, since there is no
// leader that an election could disturb.
func (c *Core) resetCampaign() {
	c.electionElapsed = 0
	half := max(1, c.cfg.ElectionTicks/2)
	c.electionTimeout = half + c.rand.IntN(half+1)
}

// campaign runs a pre-vote, which finds out whether an election could be won before
// the term is increased.
func (c *Core) campaign() {
	if !c.isVoter() {
		c.electionElapsed = 0
		c.leader = 0
		if c.removed(c.id) {
			c.refused = RefusalRemoved
		}
		// The replica may have been removed while no message reached it.
		c.sendHellos()
		return
	}
	if c.cfg.Unsafe.NoPreVote {
		c.startElection(false)
		return
	}
	c.role = PreCandidate
	c.leader = 0
	c.resetCampaign()
	c.votes = map[ID]bool{c.id: true}
	c.requestVotes(MessagePreVote, c.term+1, false)
	if c.wonVotes() {
		c.startElection(false)
	}
}

func (c *Core) startElection(force bool) {
	c.role = Candidate
	c.leader = 0
	c.term++
	c.vote = c.id
	c.resetCampaign()
	c.votes = map[ID]bool{c.id: true}
	c.requestVotes(MessageVote, c.term, force)
	if c.wonVotes() {
		c.becomeLeader()
	}
}

func (c *Core) requestVotes(t MessageType, term uint64, force bool) {
	for _, id := range c.Membership().Voters() {
		if id == c.id {
			continue
		}
		c.sendAfterSync(Message{
			Type:    t,
			To:      id,
			Term:    term,
			Index:   c.log.last(),
			LogTerm: c.log.lastTerm(),
			Force:   force,
		})
	}
}

// wonVotes reports whether a majority of the current voters granted their vote.
func (c *Core) wonVotes() bool {
	ms := c.Membership()
	n := 0
	for _, id := range ms.Voters() {
		if c.votes[id] {
			n++
		}
	}
	return n >= ms.Quorum()
}

func (c *Core) stepPreVote(m Message) {
	grant := m.Term > c.term && c.log.upToDate(m.Index, m.LogTerm) && !c.leaseHeld()
	term := c.term
	if grant {
		term = m.Term
		if c.role == PreCandidate && c.precedes(m) {
			c.withdrawCampaign()
		}
	}
	c.sendAfterSync(Message{Type: MessagePreVoteReply, To: m.From, Term: term, Reject: !grant})
}

// precedes reports whether the sender of a pre-vote, whose log is up to date, is the better candidate. The
// lower ID breaks ties, so that of several that campaign at once one gets all votes.
func (c *Core) precedes(m Message) bool {
	return m.LogTerm != c.log.lastTerm() || m.Index != c.log.last() || m.From < c.id
}

// withdrawCampaign gives up a pre-vote. The replica campaigns again after its timeout if nobody is elected.
func (c *Core) withdrawCampaign() {
	c.role = Follower
	c.votes = nil
}

func (c *Core) stepVote(m Message) {
	free := c.vote == 0 || c.vote == m.From
	grant := free && c.role == Follower && c.log.upToDate(m.Index, m.LogTerm)
	if grant {
		c.vote = m.From
		c.electionElapsed = 0
	}
	c.sendAfterSync(Message{Type: MessageVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) stepVoteReply(m Message) {
	switch {
	case m.Type == MessagePreVoteReply && c.role == PreCandidate && m.Term == c.term+1:
		c.votes[m.From] = !m.Reject
		if c.wonVotes() {
			c.startElection(false)
		}
	case m.Type == MessageVoteReply:
		c.countVote(m)
	}
}

func (c *Core) countVote(m Message) {
	if !m.Reject {
		c.recordWatermark(m.From, m.Term, 0)
	}
	if c.role != Candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.wonVotes() {
		c.becomeLeader()
	}
}

// stepTimeoutNow starts an election at once, because the leader transfers its
// leadership to this replica.
func (c *Core) stepTimeoutNow() {
	if c.role == Follower && c.isVoter() {
		c.startElection(true)
	}
}
