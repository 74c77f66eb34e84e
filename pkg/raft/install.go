package raft

// incomingSnapshot assembles the chunks of a snapshot in order.
type incomingSnapshot struct {
	meta SnapshotMeta
	term uint64 // term of the leader that sends it
	data []byte
}

func (c *Core) startSnapshot(id ID, p *progress) {
	p.snapshot = true
	p.snapshotAt = c.snapshot.Meta.Index
	p.chunkOffset = 0
	c.sendChunk(id, p)
}

func (c *Core) sendChunk(id ID, p *progress) {
	if p.snapshotAt != c.snapshot.Meta.Index {
		p.snapshotAt = c.snapshot.Meta.Index
		p.chunkOffset = 0
	}
	size := uint64(len(c.snapshot.Data))
	from := min(p.chunkOffset, size)
	to := min(from+uint64(c.cfg.ChunkBytes), size)
	p.chunkTicks = 0
	c.sendBeforeSync(Message{
		Type: MessageSnapshot,
		To:   id,
		Chunk: &Chunk{
			Meta:   c.snapshot.Meta,
			Offset: from,
			Size:   size,
			Data:   c.snapshot.Data[from:to],
		},
	})
}

// tickChunk resends a chunk that was not acknowledged for two heartbeat intervals.
func (c *Core) tickChunk(id ID, p *progress) {
	p.chunkTicks++
	if p.chunkTicks >= 2 {
		c.sendChunk(id, p)
	}
}

func (c *Core) stepSnapshot(m Message) {
	ch := m.Chunk
	if ch == nil {
		return
	}
	if ch.Meta.Index <= c.log.committed {
		c.ackAppend(m.From, c.log.committed)
		return
	}
	if c.log.matches(ch.Meta.Index, ch.Meta.Term) {
		c.commitTo(ch.Meta.Index) // the log already contains it; the entries after it are kept
		c.ackAppend(m.From, ch.Meta.Index)
		return
	}
	in := c.incomingFor(m)
	if ch.Offset == uint64(len(in.data)) {
		in.data = append(in.data, ch.Data...)
	}
	if uint64(len(in.data)) < ch.Size {
		c.sendAfterSync(Message{
			Type:  MessageSnapshotReply,
			To:    m.From,
			Index: ch.Meta.Index,
			Hint:  uint64(len(in.data)),
		})
		return
	}
	c.install(in)
	c.ackAppend(m.From, c.log.last())
}

func (c *Core) incomingFor(m Message) *incomingSnapshot {
	in := c.incoming
	if in == nil || in.term != m.Term || in.meta.Index != m.Chunk.Meta.Index || in.meta.Term != m.Chunk.Meta.Term {
		in = &incomingSnapshot{meta: m.Chunk.Meta, term: m.Term}
		c.incoming = in
	}
	return in
}

func (c *Core) install(in *incomingSnapshot) {
	c.incoming = nil
	c.snapshot = Snapshot{Meta: in.meta, Data: in.data}
	c.log.reset(in.meta)
	c.members.reset(in.meta.Index, in.meta.Membership)
	s := c.snapshot
	c.newSnapshot = &s
}

func (c *Core) stepSnapshotReply(m Message, p *progress) {
	if !p.snapshot || m.Index != p.snapshotAt || m.Hint == p.chunkOffset {
		return
	}
	p.chunkOffset = m.Hint
	c.sendChunk(m.From, p)
}
