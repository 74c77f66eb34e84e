package raft

// maxPromotionLag is how many committed entries a learner may lack when it is
// promoted. Under load a learner always lacks some.
const maxPromotionLag = 100

// AddLearner adds a replica that receives the log but does not vote. Its ID must be
// higher than all IDs used so far.
func (c *Core) AddLearner(id ID, address string) (index, term uint64, err error) {
	return c.change(func(ms Membership) (Membership, error) {
		return ms.withLearner(id, address)
	})
}

// Promote makes a learner a voter and records its store. The learner must hold the
// log except for at most maxPromotionLag committed entries.
func (c *Core) Promote(id ID) (index, term uint64, err error) {
	return c.change(func(ms Membership) (Membership, error) {
		p := c.progress[id]
		if p == nil {
			return Membership{}, ErrNotMember
		}
		if !c.caughtUp(p) {
			return Membership{}, ErrLearnerBehind
		}
		return ms.withVoter(id, p.store)
	})
}

// caughtUp reports whether a follower holds enough of the log to be promoted.
func (c *Core) caughtUp(p *progress) bool {
	return p.match+maxPromotionLag >= c.log.committed && p.match >= c.termStart && p.store != 0
}

// Remove removes a replica. Its ID is never used again.
func (c *Core) Remove(id ID) (index, term uint64, err error) {
	return c.change(func(ms Membership) (Membership, error) {
		return ms.without(id)
	})
}

// change appends a membership that differs by one replica. The previous membership
// and an entry of this term must have been committed.
func (c *Core) change(edit func(Membership) (Membership, error)) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if c.transferTo != 0 {
		return 0, 0, ErrTransferring
	}
	if c.log.committed < c.termStart || c.log.committed < c.members.changedAt() {
		return 0, 0, ErrChangePending
	}
	next, err := edit(c.Membership())
	if err != nil {
		return 0, 0, err
	}
	c.addKnownStores(&next)
	index = c.appendOwn(Entry{Type: EntryMembership, Data: next.encode()})
	c.sendAppends()
	return index, c.term, nil
}

// addKnownStores adds the stores of the initial members to a membership, so that
// new members learn them.
func (c *Core) addKnownStores(ms *Membership) {
	for i, m := range ms.Members {
		if m.Store == 0 && !m.Learner {
			ms.Members[i].Store = c.stores[m.ID]
		}
	}
}
