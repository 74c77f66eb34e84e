package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/edge/report"
	"github.com/sesamemux/sesamemux/pkg/membership"
	"github.com/sesamemux/sesamemux/pkg/object"
	"github.com/sesamemux/sesamemux/pkg/once"
	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/view"
)

func testSet(weight int) object.Set {
	return object.Set{
		FailureDomains: []object.FailureDomain{{Name: "fd-a", Region: "r"}},
		FabricDomains:  []object.FabricDomain{{Name: "fabric-1", FailureDomain: "fd-a", Hosts: 4}},
		Versions:       []object.Version{{Name: "v1", Model: "m"}},
		ModelGroups: []object.ModelGroup{{
			Name: "assistant", Version: "v1", Copies: 2, HostsPerGroup: 2,
			MaxInFlight: 8, ColdInFlight: 2, RampTime: time.Second, PauseGrace: time.Second,
		}},
		Services: []object.Service{{
			Name: "records", OnceOnly: []object.Call{{Method: "POST", Path: "/stamp"}}, KeyHeader: "Idempotency-Key",
			Timeout: time.Second, Retention: time.Hour, MaxRecords: 100, MaxAnswer: 100, MaxInFlight: 4, ColdInFlight: 1,
		}},
		Organisations: []object.Organisation{{Name: "o1", Weight: weight, MaxQueued: 10}},
	}
}

func testHost(name view.HostName, inc view.Incarnation) view.Host {
	return view.Host{
		Name: name, Incarnation: inc, Kind: view.KindEngine, Address: "10.0.0.1:80",
		FailureDomain: "fd-a", FabricDomain: "fabric-1", ChecksFence: true,
	}
}

// drawCommand makes a command of any kind; n tells commands apart.
func drawCommand(t *rapid.T, n int, base uint64) Command {
	c := Command{At: view.Time(n) * view.Time(200*time.Millisecond)}
	name := view.HostName(rapid.SampledFrom([]string{"h1", "h2", "h3", "h4"}).Draw(t, "host"))
	inc := view.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))
	gate := view.GateName(rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "gate"))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		c.Publish = &Publish{ChangeID: fmt.Sprint("c", n), BaseRevision: base, Set: testSet(n + 1), Digest: fmt.Sprint(n)}
	case 1:
		c.Drain = &Drain{ChangeID: fmt.Sprint("c", n), Kind: view.DrainFailureDomain, Name: "fd-a",
			Restore: rapid.Bool().Draw(t, "restore"), Digest: fmt.Sprint(n)}
	case 2:
		c.RegisterGate = &view.Gate{Name: gate, Incarnation: inc}
	case 3:
		c.GateGone = &membership.Session{Gate: gate, Incarnation: inc}
	case 4:
		c.Observe = &Observation{Seen: []view.Host{testHost(name, inc)}, Reports: []HostReport{{Host: name, Status: report.Status{Incarnation: inc, Phase: report.PhaseIdle}}}}
	case 5:
		c.Observe = &Observation{Lost: []HostIncarnation{{Host: name, Incarnation: inc}}}
	case 6:
		c.Observe = &Observation{Tick: true, Barrier: view.Revision(rapid.IntRange(0, 60).Draw(t, "barrier"))}
	case 7:
		c.Intend = &once.Intent{Organisation: "o1", Service: "records", Key: fmt.Sprint("k", n%3), Digest: "d", Gate: gate, GateIncarnation: inc, Attempt: fmt.Sprint(n)}
	case 8:
		c.Conclude = &once.Conclusion{Organisation: "o1", Service: "records", Key: fmt.Sprint("k", n%3), Attempt: fmt.Sprint(n - 1), Outcome: outcome.Unknown}
	case 9:
		c.Rollback = &Rollback{ChangeID: fmt.Sprint("c", n), BaseRevision: base, To: 1, Digest: fmt.Sprint(n)}
	}
	return c
}

// TestReplicasStayEqual applies the same log to two states, of which one goes
// through its encoded commands, snapshots and restores: all results, orders and
// the view must stay the same.
func TestReplicasStayEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), NewStore()
		for n := range rapid.IntRange(1, 50).Draw(t, "commands") {
			c := drawCommand(t, n, a.Objects().Revision)
			data, err := Encode(c)
			if err != nil {
				t.Fatal(err)
			}
			want := a.Apply(c)
			got := b.Apply(uint64(n), data).(Result)
			if fmt.Sprintf("%+v", deref(want)) != fmt.Sprintf("%+v", deref(got)) {
				t.Fatalf("command %d: results differ: %+v and %+v", n, deref(want), deref(got))
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				restart(t, b)
			}
			compare(t, a, b)
		}
	})
}

// deref makes results printable by value.
func deref(r Result) string {
	s := fmt.Sprint(r.Revision)
	if r.Change != nil {
		s += fmt.Sprintf(" %+v", *r.Change)
	}
	if r.Decision != nil {
		s += fmt.Sprintf(" %+v", r.Decision.Kind)
	}
	if r.Settled != nil {
		s += fmt.Sprintf(" %+v", *r.Settled)
	}
	return s
}

func restart(t *rapid.T, s *Store) {
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	again, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snapshot, again) {
		t.Fatal("a restored state has another snapshot")
	}
}

func compare(t *rapid.T, a *State, b *Store) {
	b.Read(func(s *State) {
		for what, pair := range map[string][2]any{
			"view":     {a.Delta(0), s.Delta(0)},
			"delta":    {a.Delta(a.Revision() / 2), s.Delta(a.Revision() / 2)},
			"orders":   {a.Orders(), s.Orders()},
			"history":  {a.History(), s.History()},
			"sessions": {a.Sessions(), s.Sessions()},
		} {
			if x, y := fmt.Sprintf("%+v", pair[0]), fmt.Sprintf("%+v", pair[1]); x != y && !(x == "[]" && y == "[]") {
				t.Fatalf("%s differs:\n%s\n%s", what, x, y)
			}
		}
	})
}

func TestResendAfterRestoreGetsTheFirstAnswer(t *testing.T) {
	s := NewStore()
	publish := func(id, digest string, base uint64) ChangeOutcome {
		data, err := Encode(Command{Publish: &Publish{ChangeID: id, BaseRevision: base, Set: testSet(1), Digest: digest}})
		if err != nil {
			t.Fatal(err)
		}
		return *s.Apply(0, data).(Result).Change
	}
	first := publish("c1", "d1", 0)
	publish("c2", "d2", 1)
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	resent := publish("c1", "d1", 0)
	if resent.Status != ChangeResent || resent.ObjectRevision != first.ObjectRevision || resent.ViewRevision != first.ViewRevision {
		t.Errorf("resend got %+v, first was %+v", resent, first)
	}
	if got := publish("c1", "other", 0); got.Status != ChangeReused {
		t.Errorf("the same ID with other content got %+v", got)
	}
	if got := publish("c3", "d3", 1); got.Status != ChangeConflict || got.ObjectRevision != 2 {
		t.Errorf("an old base got %+v", got)
	}
}

func TestAnswersAreBounded(t *testing.T) {
	l := newChangeLog()
	for i := range maxChangeIDs + 2*trimChunk {
		l.accept("d", ChangeOutcome{ObjectRevision: uint64(i)}, changeOf(i))
	}
	if len(l.Answers) > maxChangeIDs+trimChunk || len(l.byID) != len(l.Answers) || len(l.History) > maxHistory {
		t.Fatalf("%d answers, %d IDs, %d in the history", len(l.Answers), len(l.byID), len(l.History))
	}
	newest := maxChangeIDs + 2*trimChunk - 1
	if out, ok := l.answer(changeOf(newest).ChangeID, "d"); !ok || out.ObjectRevision != uint64(newest) {
		t.Fatalf("the newest change has answer %+v, %v", out, ok)
	}
}

func changeOf(i int) control.Change { return control.Change{ChangeID: fmt.Sprint("c", i)} }
