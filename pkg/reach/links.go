package reach

const (
	// FirstWitnesses is the number of upstreams tried in a round if the first one can't be reached, with it.
	FirstWitnesses = 4
	// Witnesses is the number tried if none of those can be reached: they may have ended together.
	Witnesses = 12
)

// minWitnesses is the number of upstreams that must be tried to tell a lost link from an upstream that
// has ended.
const minWitnesses = 2

// Round is the result of attempts to get an answer from different upstreams, each on a new connection.
type Round struct{ Connected, Failed int }

// Plus returns the result of both rounds together.
func (r Round) Plus(other Round) Round {
	return Round{r.Connected + other.Connected, r.Failed + other.Failed}
}

// Confirms reports whether the host can reach upstreams, as far as is known: too few attempts don't
// tell a lost link from an upstream that has ended.
func (r Round) Confirms() bool { return r.Connected > 0 || r.Failed < minWitnesses }

// Links is the state of a host's links to all upstreams. The zero value is a host that is not cut off.
type Links struct{ cutOff bool }

// CutOff reports whether the host has lost its links.
func (l *Links) CutOff() bool { return l.cutOff }

// Record takes the result of a round and reports whether the state changed. A host is cut off if no
// upstream can be reached, and no longer once one can: the others may have ended.
func (l *Links) Record(r Round) bool {
	before := l.cutOff
	switch {
	case r.Connected > 0:
		l.cutOff = false
	case r.Failed >= minWitnesses:
		l.cutOff = true
	}
	return l.cutOff != before
}
