package suspect

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/view"
)

func ran(trial bool, fs ...view.Fingerprint) []Running {
	var list []Running
	for _, f := range fs {
		list = append(list, Running{Fingerprint: f, Organisation: "o", Trial: trial})
	}
	return list
}

func crashed(host view.HostName, gate view.GateName, running ...[]Running) CrashReported {
	c := CrashReported{Upstream: host, Incarnation: 1, Gate: gate}
	for _, r := range running {
		c.Running = append(c.Running, r...)
	}
	return c
}

func TestJudgement(t *testing.T) {
	for _, c := range []struct {
		name      string
		events    []Event
		convicted []view.Fingerprint
		suspects  []view.Fingerprint
	}{
		{"the first crash makes suspects", []Event{
			crashed("u1", "g1", ran(false, "f", "a")),
		}, nil, []view.Fingerprint{"a", "f"}},
		{"the second crash on trial convicts", []Event{
			crashed("u1", "g1", ran(false, "f", "a")),
			crashed("u2", "g1", ran(true, "f")),
		}, []view.Fingerprint{"f"}, []view.Fingerprint{"a"}},
		{"many reports are one crash", []Event{
			crashed("u1", "g1", ran(false, "f")),
			crashed("u1", "g2", ran(false, "f")),
			crashed("u1", "g3", ran(true, "f")),
		}, nil, []view.Fingerprint{"f"}},
		{"a second crash outside a trial does not convict", []Event{
			crashed("u1", "g1", ran(false, "f")),
			crashed("u2", "g2", ran(false, "f")),
		}, nil, []view.Fingerprint{"f"}},
		{"two suspects on one upstream are not told apart", []Event{
			crashed("u1", "g1", ran(false, "f", "a")),
			crashed("u2", "g1", ran(true, "f")),
			crashed("u2", "g2", ran(true, "a")),
		}, nil, []view.Fingerprint{"a", "f"}},
		{"a convicted neighbour explains the crashes", []Event{
			crashed("u1", "g1", ran(false, "f", "a")),
			crashed("u2", "g1", ran(true, "a")),
			crashed("u2", "g2", ran(false, "f")),
			crashed("u3", "g1", ran(true, "f")),
		}, []view.Fingerprint{"f"}, []view.Fingerprint{"a"}},
		{"a trial that ends well acquits", []Event{
			crashed("u1", "g1", ran(false, "f", "a")),
			SuspectCleared{Fingerprint: "a"},
		}, nil, []view.Fingerprint{"f"}},
		{"a dark failure domain convicts none", []Event{
			crashed("u1", "g1", ran(false, "a")),
			crashed("u2", "g1", ran(true, "a")),
			crashed("u3", "g1", ran(false, "b")),
			crashed("u4", "g1", ran(false, "c")),
			crashed("u5", "g1", ran(false, "d")),
		}, nil, []view.Fingerprint{"a", "b"}},
		{"a second trial convicts also in a dark failure domain", []Event{
			crashed("u1", "g1", ran(false, "f")),
			crashed("u2", "g1", ran(true, "f")),
			crashed("u3", "g1", ran(false, "b")),
			crashed("u4", "g1", ran(false, "c")),
			crashed("u5", "g1", ran(false, "d")),
			crashed("u6", "g1", ran(true, "f")),
		}, []view.Fingerprint{"f"}, []view.Fingerprint{"b"}},
		{"an operator releases", []Event{
			crashed("u1", "g1", ran(false, "f")),
			crashed("u2", "g1", ran(true, "f")),
			Released{Fingerprint: "f"},
		}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewMachine(Options{})
			for _, e := range c.events {
				m.Step(1, 1, e)
			}
			var convicted, suspects []view.Fingerprint
			for _, q := range m.Quarantines() {
				if q.Isolate {
					suspects = append(suspects, q.Fingerprint)
				} else {
					convicted = append(convicted, q.Fingerprint)
				}
			}
			if !equal(convicted, c.convicted) || !equal(suspects, c.suspects) {
				t.Fatalf("convicted %v, suspects %v; want %v, %v", convicted, suspects, c.convicted, c.suspects)
			}
		})
	}
}

func equal(a, b []view.Fingerprint) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func TestExpiry(t *testing.T) {
	m := NewMachine(Options{})
	m.Step(0, 1, crashed("u1", "g1", ran(false, "f", "a")))
	m.Step(0, 1, crashed("u2", "g1", ran(true, "f")))
	m.Step(view.Time(DefaultSuspectTTL), 2, Ticked{})
	if q := m.Quarantines(); len(q) != 1 || q[0].Fingerprint != "f" {
		t.Fatalf("after the time of suspects: %v", q)
	}
	changes := m.Step(view.Time(DefaultConvictedTTL), 3, Ticked{})
	if len(changes) != 1 || changes[0] != (DeleteQuarantine{Fingerprint: "f"}) {
		t.Fatalf("after the time of the convicted: %v", changes)
	}
	if len(m.crashes) != 0 {
		t.Fatalf("%d crashes are still held", len(m.crashes))
	}
}

// TestChangesFollowTheState plays random events on a machine and on one that
// is restored before each event: both must agree, and the changes must lead
// from each state to the next.
func TestChangesFollowTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine(Options{MaxSuspects: 4, MaxCrashes: 3})
		published := make(map[view.Fingerprint]view.Quarantine)
		now := view.Time(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += view.Time(rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute, time.Hour}).Draw(t, "time"))
			e := drawEvent(t)
			twin := restored(t, m)
			twin.Step(now, 1, e)
			for _, c := range m.Step(now, 1, e) {
				switch x := c.(type) {
				case PutQuarantine:
					published[x.Quarantine.Fingerprint] = x.Quarantine
				case DeleteQuarantine:
					delete(published, x.Fingerprint)
				}
			}
			if !bytes.Equal(snapshot(t, m), snapshot(t, twin)) {
				t.Fatal("a restored machine went another way")
			}
			for _, q := range m.Quarantines() {
				if published[q.Fingerprint] != q {
					t.Fatalf("published %+v, want %+v", published[q.Fingerprint], q)
				}
			}
			if len(m.crashes) > 3 {
				t.Fatalf("%d crashes are held", len(m.crashes))
			}
			if len(published) != len(m.Quarantines()) || len(published) > 4 {
				t.Fatalf("%d quarantines are published, %d held", len(published), len(m.Quarantines()))
			}
		}
	})
}

func drawEvent(t *rapid.T) Event {
	f := rapid.SampledFrom([]view.Fingerprint{"a", "b", "c", "d", "e", "f"})
	g := rapid.SampledFrom([]view.GateName{"g1", "g2"})
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0:
		return SuspectCleared{Fingerprint: f.Draw(t, "well")}
	case 1:
		return Released{Fingerprint: f.Draw(t, "released")}
	case 2:
		return GateGone{Gate: g.Draw(t, "gone"), Successor: g.Draw(t, "heir")}
	case 3:
		return Ticked{}
	}
	host := rapid.SampledFrom([]view.HostName{"u1", "u2", "u3", "u4", "u5"}).Draw(t, "host")
	trial := rapid.Bool().Draw(t, "trial")
	return crashed(host, g.Draw(t, "gate"), ran(trial, rapid.SliceOfN(f, 0, 3).Draw(t, "ran")...))
}

func snapshot(t *rapid.T, m *Machine) []byte {
	b, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func restored(t *rapid.T, m *Machine) *Machine {
	n := NewMachine(m.options)
	if err := n.Restore(snapshot(t, m)); err != nil {
		t.Fatal(err)
	}
	return n
}
