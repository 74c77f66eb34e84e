package raft

// recordWatermark raises the watermark of a replica.
func (c *Core) recordWatermark(id ID, term, index uint64) {
	old := c.watermarks[id]
	next := Watermark{ID: id, Term: term, Index: index}
	if next.behind(old.Term, old.Index) {
		c.watermarks[id] = next
		c.watermarksChanged = true
	}
}

func (c *Core) mergeWatermarks(ms []Watermark) {
	for _, m := range ms {
		if m.ID != c.id {
			c.recordWatermark(m.ID, m.Term, m.Index)
		}
	}
}
