package admission

import (
	"errors"
	"testing"
	"time"
)

func all(Request) bool { return true }

func offer(t *testing.T, f *Scheduler, id uint64, org string, weight, priority int) {
	t.Helper()
	if err := f.Enqueue(0, Request{ID: id, Organisation: org, Weight: weight, Priority: priority}); err != nil {
		t.Fatal(err)
	}
}

// TestServiceFollowsWeights lets three organisations have work at all times.
func TestServiceFollowsWeights(t *testing.T) {
	f := NewScheduler(Options{MaxQueued: 1000})
	id := uint64(0)
	for range 600 {
		for org, weight := range map[string]int{"a": 1, "b": 1, "c": 4} {
			id++
			offer(t, f, id, org, weight, 0)
		}
	}
	served := map[string]int{}
	for range 600 {
		next, _ := f.Next(0, all)
		served[next.Organisation]++
	}
	if served["a"] != 100 || served["b"] != 100 || served["c"] != 400 {
		t.Errorf("served %v", served)
	}
}

func TestPriorityGoesFirstWithinAnOrganisation(t *testing.T) {
	f := NewScheduler(Options{})
	for i, p := range []int{0, 5, 0, 9} {
		offer(t, f, uint64(i), "a", 1, p)
	}
	for _, want := range []uint64{3, 1, 0, 2} {
		if got, _ := f.Next(0, all); got.ID != want {
			t.Fatalf("next is %d, want %d", got.ID, want)
		}
	}
}

func TestRefusals(t *testing.T) {
	f := NewScheduler(Options{DefaultServiceTime: time.Second, MaxQueued: 2})
	expect := func(id uint64, deadline time.Duration, want Reason) {
		t.Helper()
		err := f.Enqueue(0, Request{ID: id, Organisation: "a", Deadline: deadline})
		var r *RejectError
		if errors.As(err, &r); (r == nil) != (want == "") || (r != nil && (r.Reason != want || r.RetryAfter < MinRetryAfter)) {
			t.Fatalf("ticket %d: %v, want %q", id, err, want)
		}
	}
	expect(1, 500*time.Millisecond, ReasonDeadline)
	expect(2, 2*time.Second, "")
	expect(3, 5*time.Second, "")
	expect(4, 5*time.Second, ReasonQueueFull)
	if late := f.Expire(1500 * time.Millisecond); len(late) != 1 || late[0].ID != 2 {
		t.Fatalf("expired %+v", late)
	}
	if !f.Remove(3) || f.Remove(3) || f.Len() != 0 {
		t.Fatal("a request that was removed still waits")
	}
}

// TestOverShareYields gives one organisation all the work until another comes.
func TestOverShareYields(t *testing.T) {
	f := NewScheduler(Options{})
	f.SetCapacity(Capacity{Total: 20})
	for i := range 40 {
		offer(t, f, uint64(i), "large", 1, 0)
	}
	started := 0
	for started < 20 {
		if _, ok := f.Next(0, all); !ok {
			t.Fatal("an organisation alone had to yield")
		}
		started++
	}
	f.SetCapacity(Capacity{Total: 40, Used: 20})
	for i := range 9 {
		offer(t, f, uint64(100+i), "small"+string(rune('a'+i)), 1, 0)
	}
	for range 9 {
		if next, ok := f.Next(0, all); !ok || next.Organisation == "large" {
			t.Fatalf("next is %+v, %v", next, ok)
		}
	}
	if next, ok := f.Next(0, all); ok {
		t.Fatalf("%s did not yield with half of the room in use", next.Organisation)
	}
}
