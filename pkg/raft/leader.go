package raft

import "slices"

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.votes = nil
	c.progress = map[ID]*progress{}
	c.heartbeatElapsed = 0
	c.quorumCheckElapsed = 0
	c.round = 0
	c.transferTo = 0
	c.syncProgress()
	c.termStart = c.appendOwn(Entry{Type: EntryNoop})
	c.sendAppends()
}

func (c *Core) dropLeadership() {
	for _, r := range c.reads.clear() {
		c.readStates = append(c.readStates, ReadState{Token: r.token})
	}
	c.progress = nil
	c.transferTo = 0
}

// syncProgress updates the progress of followers after a membership change.
func (c *Core) syncProgress() {
	ms := c.Membership()
	for id := range c.progress {
		if _, ok := ms.Member(id); !ok {
			delete(c.progress, id)
		}
	}
	for _, m := range ms.Members {
		if m.ID == c.id || c.progress[m.ID] != nil {
			continue
		}
		c.progress[m.ID] = &progress{next: c.log.last() + 1, probing: true, active: true}
	}
}

// peers returns the IDs of the followers, sorted.
func (c *Core) peers() []ID {
	ids := make([]ID, 0, len(c.progress))
	for id := range c.progress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) tickLeader() {
	for _, p := range c.progress {
		p.silentTicks++
	}
	c.quorumCheckElapsed++
	if c.quorumCheckElapsed >= c.cfg.ElectionTicks {
		c.quorumCheckElapsed = 0
		if !c.checkQuorum() {
			c.becomeFollower(c.term, 0)
			return
		}
	}
	c.tickTransfer()
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.retransmitStalled()
		c.sendHeartbeats()
	}
}

// retransmitStalled resends the entries that a responsive follower has not
// acknowledged for a whole heartbeat interval.
func (c *Core) retransmitStalled() {
	for _, id := range c.peers() {
		p := c.progress[id]
		switch {
		case p.snapshot:
			c.tickChunk(id, p)
		case p.heartbeatReplied && !p.matchAdvanced && p.match < c.log.last():
			p.probeFrom(p.match + 1)
			c.sendAppend(id, p)
		}
		p.heartbeatReplied = false
		p.matchAdvanced = false
	}
}

// checkQuorum reports whether a majority was heard from since the last check.
func (c *Core) checkQuorum() bool {
	if c.cfg.Unsafe.NoCheckQuorum {
		return true
	}
	ms := c.Membership()
	n := 0
	for _, id := range ms.Voters() {
		if id == c.id {
			n++
			continue
		}
		if c.progress[id].active {
			n++
		}
	}
	for _, p := range c.progress {
		p.active = false
	}
	return n >= ms.Quorum()
}

func (c *Core) sendHeartbeats() {
	watermarks := c.watermarksWithOwn()
	for _, id := range c.peers() {
		p := c.progress[id]
		c.sendBeforeSync(Message{
			Type:       MessageHeartbeat,
			To:         id,
			Commit:     min(p.match, c.log.committed),
			Round:      c.round,
			Watermarks: watermarks,
		})
	}
}

// watermarksWithOwn returns the watermarks of the other replicas and the leader's
// own.
func (c *Core) watermarksWithOwn() []Watermark {
	watermarks := c.sortedWatermarks()
	own := Watermark{ID: c.id, Term: c.term, Index: c.log.persisted}
	return append(slices.DeleteFunc(watermarks, func(m Watermark) bool { return m.ID == c.id }), own)
}

func (c *Core) sendAppends() {
	for _, id := range c.peers() {
		c.sendAppend(id, c.progress[id])
	}
}

// sendAppend sends as much as the follower's window allows.
func (c *Core) sendAppend(id ID, p *progress) {
	for !p.snapshot && p.canSend(c.cfg.MaxInflight) && (p.next <= c.log.last() || p.probing) {
		prev := p.next - 1
		term, ok := c.log.term(prev)
		if !ok {
			c.startSnapshot(id, p)
			return
		}
		es := c.log.slice(p.next, c.log.last(), c.cfg.BatchBytes)
		c.sendBeforeSync(Message{
			Type:    MessageAppend,
			To:      id,
			Index:   prev,
			LogTerm: term,
			Entries: es,
			Commit:  c.log.committed,
		})
		p.inflight++
		if !p.probing {
			p.next += uint64(len(es))
		}
	}
}

// stepReply handles a follower's reply of this term.
func (c *Core) stepReply(m Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil || !c.isPlausible(m) {
		return
	}
	p.active = true
	p.silentTicks = 0
	if p.store != 0 && p.store != m.Store {
		*p = progress{next: c.log.last() + 1, probing: true, active: true} // the learner has a new disk
	}
	p.store = m.Store
	c.recordWatermark(m.From, m.Term, 0)
	switch m.Type {
	case MessageAppendReply:
		c.stepAppendReply(m, p)
	case MessageHeartbeatReply:
		c.stepHeartbeatReply(m, p)
	case MessageSnapshotReply:
		c.stepSnapshotReply(m, p)
	}
}

func (c *Core) stepAppendReply(m Message, p *progress) {
	if m.Reject {
		c.stepAppendReject(m, p)
		return
	}
	if p.advanceMatch(m.Index) {
		c.recordWatermark(m.From, c.term, m.Index)
		c.maybeCommit()
	}
	if c.role != Leader {
		return
	}
	if p.snapshot && p.match >= p.snapshotAt {
		p.snapshot = false
		p.probeFrom(p.match + 1)
	}
	c.sendAppend(m.From, p)
	c.continueTransfer(m.From, p)
}

func (c *Core) stepAppendReject(m Message, p *progress) {
	if m.Index <= p.match || p.snapshot {
		return // sent before its last acknowledgement
	}
	p.probeFrom(min(m.Hint, m.Index))
	c.sendAppend(m.From, p)
}

func (c *Core) stepHeartbeatReply(m Message, p *progress) {
	p.round = max(p.round, m.Round)
	p.heartbeatReplied = true
	c.confirmReads()
}

// maybeCommit commits the entries that a majority holds, up to one of this term. The
// leader counts itself only for entries that it has synced.
func (c *Core) maybeCommit() {
	if c.role != Leader {
		return
	}
	ms := c.Membership()
	matches := make([]uint64, 0, len(ms.Members))
	for _, id := range ms.Voters() {
		matches = append(matches, c.matchOf(id))
	}
	slices.Sort(matches)
	index := matches[len(matches)-ms.Quorum()]
	if index <= c.log.committed || !c.log.matches(index, c.term) {
		return
	}
	c.log.committed = index
	c.sendCommit()
	c.startReads()
	c.stepDownIfRemoved()
}

func (c *Core) matchOf(id ID) uint64 {
	if id == c.id {
		return c.log.persisted
	}
	return c.progress[id].match
}

// sendCommit sends the new commit index to the followers that are not probed and
// receive no snapshot.
func (c *Core) sendCommit() {
	for _, id := range c.peers() {
		p := c.progress[id]
		if p.snapshot || p.probing {
			continue
		}
		prev := p.next - 1
		term, ok := c.log.term(prev)
		if !ok {
			continue
		}
		c.sendBeforeSync(Message{
			Type:    MessageAppend,
			To:      id,
			Index:   prev,
			LogTerm: term,
			Commit:  c.log.committed,
		})
	}
}

// stepDownIfRemoved ends the leadership of a replica whose removal is committed.
func (c *Core) stepDownIfRemoved() {
	if c.log.committed >= c.members.changedAt() && !c.isVoter() {
		c.becomeFollower(c.term, 0)
	}
}
