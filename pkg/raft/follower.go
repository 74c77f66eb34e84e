package raft

func (c *Core) stepAppend(m Message) {
	if m.Index < c.log.committed {
		c.ackAppend(m.From, c.log.committed)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.rejectAppend(m)
		return
	}
	c.takeEntries(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.ackAppend(m.From, match)
}

func (c *Core) ackAppend(to ID, match uint64) {
	c.send(Message{Type: MessageAppendReply, To: to, Index: match})
}

func (c *Core) rejectAppend(m Message) {
	c.send(Message{
		Type:   MessageAppendReply,
		To:     m.From,
		Reject: true,
		Index:  m.Index,
		Hint:   c.nextTry(m.Index),
	})
}

// nextTry skips the whole term that conflicts at an index.
func (c *Core) nextTry(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last() + 1
	}
	term, ok := c.log.term(index)
	if !ok {
		return c.log.committed + 1
	}
	for index > c.log.committed+1 && c.log.matches(index-1, term) {
		index--
	}
	return index
}

// takeEntries appends what is new and cuts only where an entry conflicts.
func (c *Core) takeEntries(es []Entry) {
	for i, e := range es {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			c.log.cutFrom(e.Index)
			c.members.cutFrom(e.Index)
		}
		c.log.append(es[i:]...)
		for _, added := range es[i:] {
			c.noteMembership(added)
		}
		return
	}
}

func (c *Core) commitTo(index uint64) {
	c.log.committed = max(c.log.committed, min(index, c.log.last()))
}

func (c *Core) stepHeartbeat(m Message) {
	c.commitTo(m.Commit)
	c.takeMarks(m.Watermarks)
	c.send(Message{Type: MessageHeartbeatReply, To: m.From, Round: m.Round})
}
