package raft

// mark records what a replica promised.
func (c *Core) mark(id ID, term, index uint64) {
	old := c.marks[id]
	next := Watermark{ID: id, Term: term, Index: index}
	if next.behind(old.Term, old.Index) {
		c.marks[id] = next
		c.marksChanged = true
	}
}

func (c *Core) takeMarks(ms []Watermark) {
	for _, m := range ms {
		if m.ID != c.id {
			c.mark(m.ID, m.Term, m.Index)
		}
	}
}
