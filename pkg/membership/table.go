package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Timing holds the lease time that gates are granted and the share by which
// the clocks of two hosts may run apart, in [0,1).
type Timing struct {
	Lease         time.Duration
	MaxClockDrift float64
}

// hold is the longest that a lease granted now can last, as seen here.
func (t Timing) hold() time.Duration {
	return t.Lease + time.Duration(float64(t.Lease)*t.MaxClockDrift)
}

// holder is what the leader knows of one session.
type holder struct {
	until   clock.Moment
	inForce view.Revision
}

// Table is the leader's account of gate leases. It is made anew at each
// election and used by one goroutine at a time.
type Table struct {
	timing  Timing
	holders map[Session]*holder
}

// NewTable returns the table of a leader elected at now. Every registered
// session may hold a lease from an earlier leader, with an unknown revision.
func NewTable(t Timing, now clock.Moment, registered []Session) *Table {
	table := &Table{timing: t, holders: make(map[Session]*holder)}
	for _, s := range registered {
		table.holders[s] = &holder{until: now.Add(t.hold())}
	}
	return table
}

// Grant notes a lease for a registered session that has inForce in force and
// whose reply brings it to offered. The caller has confirmed its leadership
// after the request arrived.
func (t *Table) Grant(now clock.Moment, s Session, inForce, offered view.Revision) {
	h, ok := t.holders[s]
	if !ok || h.until <= now {
		// Without a lease the gate takes no work until it has installed what
		// the reply offers.
		h = &holder{inForce: offered}
		t.holders[s] = h
	}
	h.inForce = max(h.inForce, inForce)
	h.until = max(h.until, now.Add(t.timing.hold()))
}

// Remove drops a session whose lease has lapsed or was released by the gate.
func (t *Table) Remove(s Session) {
	delete(t.holders, s)
}

// Barrier returns the lowest revision in force among leases that may be
// alive; current when there is none.
func (t *Table) Barrier(now clock.Moment, current view.Revision) view.Revision {
	lowest := current
	for _, h := range t.holders {
		if h.until > now {
			lowest = min(lowest, h.inForce)
		}
	}
	return lowest
}

// Behind lists the sessions that hold the barrier under a revision.
func (t *Table) Behind(now clock.Moment, r view.Revision) []Session {
	var behind []Session
	for s, h := range t.holders {
		if h.until > now && h.inForce < r {
			behind = append(behind, s)
		}
	}
	sortSessions(behind)
	return behind
}

// Lapsed lists the sessions whose leases have lapsed for sure.
func (t *Table) Lapsed(now clock.Moment) []Session {
	var lapsed []Session
	for s, h := range t.holders {
		if h.until <= now {
			lapsed = append(lapsed, s)
		}
	}
	sortSessions(lapsed)
	return lapsed
}

// State tells what is known of a session: its revision in force and how long
// its lease may last.
func (t *Table) State(now clock.Moment, s Session) (view.Revision, time.Duration, bool) {
	h, ok := t.holders[s]
	if !ok {
		return 0, 0, false
	}
	return h.inForce, h.until.Sub(now), true
}

func sortSessions(s []Session) {
	slices.SortFunc(s, func(a, b Session) int {
		if c := cmp.Compare(a.Gate, b.Gate); c != 0 {
			return c
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
}
