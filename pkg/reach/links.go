package reach

// Witnesses is the number of upstreams tried in a round.
const Witnesses = 3

// minWitnesses is the number of upstreams that must be tried to tell a lost link from an upstream that
// has ended.
const minWitnesses = 2

// Round is the result of connection attempts to different upstreams.
type Round struct{ Connected, Failed int }

// Confirms reports whether the host can reach upstreams, as far as is known: too few attempts don't
// tell a lost link from an upstream that has ended.
func (r Round) Confirms() bool { return r.Connected > 0 || r.Failed < minWitnesses }

// Links is the state of a host's links to all upstreams. The zero value is a host that is not cut off.
type Links struct{ cutOff bool }

// CutOff reports whether the host has lost its links.
func (l *Links) CutOff() bool { return l.cutOff }

// Record takes the result of a round and reports whether the state changed. A host is cut off if no
// upstream can be reached, and no longer once none of several fails: a link that comes and goes does
// not carry requests.
func (l *Links) Record(r Round) bool {
	before := l.cutOff
	switch {
	case r.Connected+r.Failed < minWitnesses:
	case r.Connected == 0:
		l.cutOff = true
	case r.Failed == 0:
		l.cutOff = false
	}
	return l.cutOff != before
}
