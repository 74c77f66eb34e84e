package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/view"
)

var timing = Timing{Lease: 3 * time.Second, MaxClockDrift: 0.01}

type manualClock struct{ now clock.Moment }

func (c *manualClock) Now() clock.Moment { return c.now }

// gateModel is one gate whose clock runs at its own rate.
type gateModel struct {
	session Session
	clock   *manualClock
	rate    float64
	lease   *Lease
	inForce view.Revision
	replies []reply
}

type reply struct {
	sent    clock.Moment
	offered view.Revision
}

// TestBarrierIsInForceWhereverWorkIsTaken delays, drops and reorders replies,
// changes leaders and lets clocks run apart within the margin: no gate with a
// valid lease is ever behind the barrier.
func TestBarrierIsInForceWhereverWorkIsTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now clock.Moment
		current := view.Revision(1)
		barrier := view.Revision(0)
		gates := newGates(t)
		var registered []Session
		for _, g := range gates {
			registered = append(registered, g.session)
		}
		table := NewTable(timing, now, registered)
		for range 80 {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				current++
			case 1:
				now = advance(t, now, gates)
			case 2:
				g := rapid.SampledFrom(gates).Draw(t, "gate")
				g.replies = append(g.replies, reply{sent: g.clock.now, offered: current})
				table.Grant(now, g.session, g.inForce, current)
			case 3:
				deliver(t, rapid.SampledFrom(gates).Draw(t, "gate"))
			case 4:
				table = NewTable(timing, now, registered)
			case 5:
				barrier = max(barrier, table.Barrier(now, current))
			}
			for _, g := range gates {
				if g.lease.Valid() && g.inForce < barrier {
					t.Fatalf("gate %s takes work at revision %d, barrier is %d", g.session.Gate, g.inForce, barrier)
				}
			}
		}
	})
}

func newGates(t *rapid.T) []*gateModel {
	var gates []*gateModel
	for _, name := range []view.GateName{"g1", "g2", "g3"} {
		c := &manualClock{now: 1}
		gates = append(gates, &gateModel{
			session: Session{Gate: name, Incarnation: 1},
			clock:   c,
			rate:    rapid.Float64Range(0.995, 1.005).Draw(t, "rate"),
			lease:   NewLease(c),
		})
	}
	return gates
}

func advance(t *rapid.T, now clock.Moment, gates []*gateModel) clock.Moment {
	d := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
	for _, g := range gates {
		g.clock.now = g.clock.now.Add(time.Duration(float64(d) * g.rate))
	}
	return now.Add(d)
}

func deliver(t *rapid.T, g *gateModel) {
	if len(g.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(g.replies)-1).Draw(t, "reply")
	r := g.replies[i]
	g.replies = append(g.replies[:i], g.replies[i+1:]...)
	if r.offered < g.inForce {
		return
	}
	g.inForce = r.offered
	g.lease.Extend(r.sent, timing.Lease)
}

func TestNewLeaderWaitsForLeasesOfTheOldOne(t *testing.T) {
	s := Session{Gate: "g1", Incarnation: 1}
	table := NewTable(timing, 0, []Session{s})
	if got := table.Barrier(1, 9); got != 0 {
		t.Fatalf("barrier is %d before the gate was heard or lapsed, want 0", got)
	}
	after := clock.Moment(timing.hold())
	if got := table.Barrier(after, 9); got != 9 {
		t.Fatalf("barrier is %d after every lease lapsed, want 9", got)
	}
	if got := table.Lapsed(after); len(got) != 1 || got[0] != s {
		t.Fatalf("lapsed sessions are %v, want %v", got, s)
	}
}

func TestReleasedLeaseTakesNoWork(t *testing.T) {
	c := &manualClock{now: 5}
	l := NewLease(c)
	l.Extend(5, time.Second)
	l.Release()
	l.Extend(5, time.Second)
	if l.Valid() {
		t.Fatal("a released lease is valid")
	}
}
