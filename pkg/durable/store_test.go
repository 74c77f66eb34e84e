package durable

import (
	"reflect"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/quarantine"
)

func apply(t *testing.T, s *Store, index uint64, c Command) {
	t.Helper()
	raw, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if result := s.Apply(index, raw); result != nil {
		t.Fatal(result)
	}
}

func document(version int64, raw string) Command {
	d, err := Pack(version, []byte(raw))
	if err != nil {
		panic(err)
	}
	return Command{Document: d}
}

func TestHighestVersionIsKeptUnmodified(t *testing.T) {
	s := NewStore()
	apply(t, s, 1, document(7, `{"version":7}`))
	apply(t, s, 2, document(7, `{"version":7,"other":true}`))
	apply(t, s, 3, document(5, `{"version":5}`))
	st, _ := s.State()
	raw, err := st.Document.Raw()
	if err != nil || st.Document.Version != 7 || string(raw) != `{"version":7}` || st.Index != 1 {
		t.Errorf("document %d %s at %d: %v", st.Document.Version, raw, st.Index, err)
	}
	apply(t, s, 4, document(9, `{"version":9}`))
	if st, _ = s.State(); st.Document.Version != 9 || st.Index != 4 {
		t.Errorf("document %d at %d", st.Document.Version, st.Index)
	}
}

func TestEvacuationsAndDeparturesSurviveASnapshot(t *testing.T) {
	s := NewStore()
	apply(t, s, 1, Command{Evacuate: "b"})
	apply(t, s, 2, Command{Evacuate: "a"})
	apply(t, s, 3, Command{Evacuate: "a"})
	apply(t, s, 4, Command{Restore: "b"})
	apply(t, s, 5, Command{Depart: []Departure{{ID: "x", StartedMS: 4}}})
	apply(t, s, 6, Command{Depart: []Departure{{ID: "x", StartedMS: 4, Gone: true}}})
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStore()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	was, _ := s.State()
	is, _ := restored.State()
	if !reflect.DeepEqual(was, is) || !reflect.DeepEqual(is.Evacuated, []string{"a"}) || !is.Departures[0].Gone {
		t.Errorf("restored %+v, was %+v", is, was)
	}
}

func TestChangeNotifiesWaiters(t *testing.T) {
	s := NewStore()
	_, changed := s.State()
	apply(t, s, 1, Command{Restore: "nothing"})
	select {
	case <-changed:
		t.Error("the channel was closed without a change")
	default:
	}
	apply(t, s, 2, Command{Evacuate: "a"})
	select {
	case <-changed:
	default:
		t.Error("the channel was not closed by a change")
	}
}

func TestDeparturesAreBounded(t *testing.T) {
	s := NewStore()
	for i := range 3 * maxDepartures {
		apply(t, s, uint64(i+1), Command{Depart: []Departure{{ID: "x", StartedMS: int64(i + 1)}}})
	}
	if st, _ := s.State(); len(st.Departures) != maxDepartures {
		t.Errorf("%d departures kept", len(st.Departures))
	}
}

func TestQuarantineSurvivesASnapshotAndRefusesASecondTrial(t *testing.T) {
	s := NewStore()
	crashes := []quarantine.Crash{{Upstream: "u1", StartedMS: 1}, {Upstream: "u2", StartedMS: 1}}
	grant := func(trial string) Command {
		return Command{Quarantine: []quarantine.Change{{Kind: quarantine.GrantTrial, NowMS: 10, Fingerprint: "f", Trial: trial, UntilMS: 1000}}}
	}
	apply(t, s, 1, Command{Quarantine: []quarantine.Change{{Kind: quarantine.RecordCrashes, NowMS: 5, Fingerprint: "f", Crashes: crashes}}})
	apply(t, s, 2, grant("a"))
	raw, err := grant("b").Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err, _ := s.Apply(3, raw).(error); !eris.Is(err, quarantine.ErrTrialRunning) {
		t.Errorf("second trial: %v", err)
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStore()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	was, _ := s.State()
	is, _ := restored.State()
	if e := is.Quarantine.Find("f"); e == nil || e.Trial != "a" || !reflect.DeepEqual(was, is) {
		t.Errorf("restored %+v, was %+v", is, was)
	}
}
