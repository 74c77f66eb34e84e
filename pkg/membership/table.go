package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/view"
)

// Timing holds the duration of gate leases and the largest relative difference of
// two hosts' clock rates, in [0,1).
type Timing struct {
	Lease         time.Duration
	MaxClockDrift float64
}

// maxDuration returns how long a lease granted now can last by the local clock.
func (t Timing) maxDuration() time.Duration {
	return t.Lease + time.Duration(float64(t.Lease)*t.MaxClockDrift)
}

// leaseState is the leader's record of one session.
type leaseState struct {
	expiresAt clock.Moment
	inForce   view.Revision
}

// Table holds the leader's view of gate leases. A new one is created at each
// election. It is not safe for concurrent use.
type Table struct {
	timing Timing
	leases map[Session]*leaseState
}

// NewTable returns the table of a leader elected at now. Every registered session
// may hold a lease from an earlier leader, at an unknown revision.
func NewTable(t Timing, now clock.Moment, registered []Session) *Table {
	table := &Table{timing: t, leases: make(map[Session]*leaseState)}
	for _, s := range registered {
		table.leases[s] = &leaseState{expiresAt: now.Add(t.maxDuration())}
	}
	return table
}

// Grant records a lease for a registered session that reports revision inForce and
// whose reply carries revision offered. The caller has confirmed its leadership
// after the request arrived.
func (t *Table) Grant(now clock.Moment, s Session, inForce, offered view.Revision) {
	h, ok := t.leases[s]
	if !ok || h.expiresAt <= now {
		// Without a valid lease the gate accepts no work before it has
		// installed the offered revision.
		h = &leaseState{inForce: offered}
		t.leases[s] = h
	}
	h.inForce = max(h.inForce, inForce)
	h.expiresAt = max(h.expiresAt, now.Add(t.timing.maxDuration()))
}

// Remove drops a session whose lease has expired or was released by the gate.
func (t *Table) Remove(s Session) {
	delete(t.leases, s)
}

// Barrier returns the lowest revision in force among leases that may still be
// valid, or current if there is none.
func (t *Table) Barrier(now clock.Moment, current view.Revision) view.Revision {
	lowest := current
	for _, h := range t.leases {
		if h.expiresAt > now {
			lowest = min(lowest, h.inForce)
		}
	}
	return lowest
}

// Behind returns the sessions with a possibly valid lease and a revision below r.
func (t *Table) Behind(now clock.Moment, r view.Revision) []Session {
	var behind []Session
	for s, h := range t.leases {
		if h.expiresAt > now && h.inForce < r {
			behind = append(behind, s)
		}
	}
	sortSessions(behind)
	return behind
}

// Lapsed returns the sessions whose leases have certainly expired.
func (t *Table) Lapsed(now clock.Moment) []Session {
	var lapsed []Session
	for s, h := range t.leases {
		if h.expiresAt <= now {
			lapsed = append(lapsed, s)
		}
	}
	sortSessions(lapsed)
	return lapsed
}

// State returns a session's revision in force and the remaining time for which
// its lease may be valid; false for an unknown session.
func (t *Table) State(now clock.Moment, s Session) (view.Revision, time.Duration, bool) {
	h, ok := t.leases[s]
	if !ok {
		return 0, 0, false
	}
	return h.inForce, h.expiresAt.Sub(now), true
}

func sortSessions(s []Session) {
	slices.SortFunc(s, func(a, b Session) int {
		if c := cmp.Compare(a.Gate, b.Gate); c != 0 {
			return c
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
}
