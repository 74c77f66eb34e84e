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
	c.appendNew(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.ackAppend(m.From, match)
}

func (c *Core) ackAppend(to ID, match uint64) {
	c.sendAfterSync(Message{Type: MessageAppendReply, To: to, Index: match})
}

func (c *Core) rejectAppend(m Message) {
	c.sendAfterSync(Message{
		Type:   MessageAppendReply,
		To:     m.From,
		Reject: true,
		Index:  m.Index,
		Hint:   c.conflictHint(m.Index),
	})
}

// conflictHint returns the index at which the leader should retry. It skips the
// whole term that conflicts at an index.
func (c *Core) conflictHint(index uint64) uint64 {
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

// appendNew appends the entries that are new, and truncates the log only where an
// entry conflicts.
func (c *Core) appendNew(es []Entry) {
	for i, e := range es {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			c.log.truncateFrom(e.Index)
			c.members.truncateFrom(e.Index)
		}
		c.log.append(es[i:]...)
		for _, added := range es[i:] {
			c.trackMembership(added)
		}
		return
	}
}

func (c *Core) commitTo(index uint64) {
	c.log.committed = max(c.log.committed, min(index, c.log.last()))
}

func (c *Core) stepHeartbeat(m Message) {
	c.commitTo(m.Commit)
	c.mergeWatermarks(m.Watermarks)
	c.sendAfterSync(Message{Type: MessageHeartbeatReply, To: m.From, Round: m.Round})
}
