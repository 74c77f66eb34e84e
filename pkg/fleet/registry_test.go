package fleet

import (
	"testing"
	"time"
)

func host(id, address string, born, sequence int64) Upstream {
	return Upstream{ID: id, Service: "s", Address: address, Zone: "z", StartedMS: born, Sequence: sequence, State: Ready}
}

func TestLateAnnouncementChangesNothing(t *testing.T) {
	r := NewRegistry()
	r.Announce(0, host("a", "h:1", 100, 5))
	late := host("a", "h:1", 100, 4)
	late.State = Draining
	if r.Announce(time.Second, late) || r.Get("a").State != Ready {
		t.Error("an earlier announcement took effect")
	}
}

// An announcement that a partition held up may come after its sender has
// crashed and another process has its address.
func TestOldOwnerOfAnAddressDoesNotComeBack(t *testing.T) {
	r := NewRegistry()
	r.Announce(0, host("old", "h:1", 100, 1))
	r.Announce(0, host("new", "h:1", 200, 1))
	if r.Get("old").State != Gone {
		t.Error("the replaced incarnation is still there")
	}
	r.Announce(time.Second, host("old", "h:1", 100, 9))
	if r.Get("old").State != Gone || r.Get("new").State != Ready {
		t.Error("a late announcement took the address back")
	}
	if r.Announce(time.Second, host("older", "h:1", 50, 1)); r.Get("older") != nil {
		t.Error("an unknown older incarnation took the address")
	}
}

func TestRestartUnderTheSameIDCountsAnew(t *testing.T) {
	r := NewRegistry()
	r.Announce(0, host("a", "h:1", 100, 50))
	r.Depart("a", 100, Gone)
	if !r.Announce(time.Second, host("a", "h:1", 300, 1)) || r.Get("a").State != Ready {
		t.Error("the new incarnation is not taken")
	}
	if r.Depart("a", 100, Gone) {
		t.Error("the end of the former incarnation took effect")
	}
}

func TestStateNeverGoesBack(t *testing.T) {
	r := NewRegistry()
	r.Announce(0, host("a", "h:1", 100, 1))
	r.Depart("a", 100, Draining)
	r.Announce(time.Second, host("a", "h:1", 100, 2))
	if r.Get("a").State != Draining {
		t.Error("a draining upstream is ready again")
	}
}

func TestOnlyChangesAreNews(t *testing.T) {
	r := NewRegistry()
	r.Announce(0, host("a", "h:1", 100, 1))
	before := r.Revision()
	r.Announce(time.Second, host("a", "h:1", 100, 2))
	if r.Revision() != before || len(r.Since(before)) != 0 {
		t.Error("an announcement without a change is news")
	}
	u := host("a", "h:1", 100, 3)
	u.Assignment = &Assignment{Group: "m/1", Epoch: 1, State: AssignmentReady}
	r.Announce(time.Second, u)
	if len(r.Since(before)) != 1 || r.Get("a").LastGroup != "m/1" {
		t.Error("a changed seat is no news, or the group is not remembered")
	}
	r.Announce(time.Second, host("a", "h:1", 100, 4))
	if r.Get("a").LastGroup != "m/1" {
		t.Error("the last group is forgotten with the seat")
	}
}
