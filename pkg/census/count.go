package census

import "time"

// IncompleteTime is how long the number that a new leader tells counts as incomplete: as long as a leader
// takes a process that has become silent into account.
const IncompleteTime = 10 * time.Second

// Count is the number of entry hosts, as a process hears of it from the leaders that follow one another.
// The zero value has heard nothing.
type Count struct {
	session string // of the leader heard last
	entries int    // told by it last
	atLeast int    // what was known when it was first heard
	until   time.Duration
}

// Restored returns a count that begins with a number that was known before a restart.
func Restored(entries int) Count { return Count{entries: entries} }

// Hear takes over the number that the leader of a session tells. It returns the number to divide by:
// never less than what was known before the session, until its leader has counted for IncompleteTime.
func (c *Count) Hear(now time.Duration, session string, entries int) int {
	switch {
	case session != c.session:
		c.session, c.atLeast, c.until = session, c.Entries(), now+IncompleteTime
	case now >= c.until:
		c.atLeast = 0
	}
	c.entries = entries
	return c.Entries()
}

// Entries returns the number to divide by, 0 if nothing was heard.
func (c *Count) Entries() int { return max(c.entries, c.atLeast) }
