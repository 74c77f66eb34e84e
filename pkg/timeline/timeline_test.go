package timeline

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStampsFollowCauses lets processes with wrong clocks send each other
// messages: what a message causes must come after it in the merged time line.
func TestStampsFollowCauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		processes := make([]*Recorder, 3)
		for i := range processes {
			skew := time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second
			r, err := NewRecorder(Options{Process: fmt.Sprint("p", i), Now: func() time.Time { return now.Add(skew) }})
			if err != nil {
				t.Fatal(err)
			}
			processes[i] = r
		}
		messages := rapid.IntRange(1, 30).Draw(t, "messages")
		for m := range messages {
			from := processes[rapid.IntRange(0, 2).Draw(t, "from")]
			to := processes[rapid.IntRange(0, 2).Draw(t, "to")]
			now = now.Add(time.Duration(rapid.IntRange(-1, 5).Draw(t, "step")) * time.Millisecond)
			from.Record(Event{Kind: RequestSent, Attempt: m})
			to.Observe(from.Stamp())
			to.Record(Event{Kind: RequestFinished, Attempt: m})
		}
		merged := Merge(processes[0].Events(Filter{}, 0), processes[1].Events(Filter{}, 0), processes[2].Events(Filter{}, 0))
		if len(merged) != 2*messages {
			t.Fatalf("%d events, want %d", len(merged), 2*messages)
		}
		for m := range messages {
			sent := slices.IndexFunc(merged, func(e Event) bool { return e.Kind == RequestSent && e.Attempt == m })
			done := slices.IndexFunc(merged, func(e Event) bool { return e.Kind == RequestFinished && e.Attempt == m })
			if sent > done {
				t.Fatalf("message %d: its effect comes first", m)
			}
		}
	})
}

func TestObserveRefusesAWrongClock(t *testing.T) {
	var c Clock
	now := time.Unix(1000, 0)
	if err := c.Observe(now, HLC{Wall: now.Add(2 * MaxClockSkew).UnixNano()}); err == nil {
		t.Fatal("a stamp far ahead was taken over")
	}
	if got := c.Now(now); got.Wall != now.UnixNano() {
		t.Fatalf("clock moved to %v", got)
	}
}

func TestHLCText(t *testing.T) {
	h := HLC{Wall: 17, Logical: 3}
	got, err := ParseHLC(h.String())
	if err != nil || got != h {
		t.Fatalf("got %v, %v", got, err)
	}
	for _, s := range []string{"", "1", "a.1", "1.b", "1.4294967296"} {
		if _, err := ParseHLC(s); err == nil {
			t.Errorf("%q was accepted", s)
		}
	}
}

func TestRingKeepsTheNewest(t *testing.T) {
	r, err := NewRecorder(Options{RingSize: 4})
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 10; i++ {
		r.Record(Event{Kind: RequestSent, Attempt: i})
	}
	var got []int
	for _, e := range r.Events(Filter{}, 3) {
		got = append(got, e.Attempt)
	}
	if !slices.Equal(got, []int{8, 9, 10}) {
		t.Fatalf("ring holds %v", got)
	}
}

func TestNilRecorderRecordsNothing(t *testing.T) {
	var r *Recorder
	r.Record(Event{})
	r.Observe(HLC{Wall: 1})
	r.Close()
	if len(r.Events(Filter{}, 0)) != 0 || !r.Stamp().IsZero() || r.Dropped() != 0 {
		t.Fatal("nil recorder holds something")
	}
}

// TestFileIsBounded writes past the file's limit and reads both files back.
func TestFileIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "timeline", "events.jsonl")
	const limit = 2000
	r, err := NewRecorder(Options{Process: "p", File: path, MaxFileBytes: limit})
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 200; i++ {
		r.Record(Event{Kind: RequestSent, Attempt: i})
	}
	r.Close()
	r.Record(Event{Kind: ProcessStopping})
	events, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(events) == 0 || len(events) >= 200 || events[len(events)-1].Attempt != 200 {
		t.Fatalf("%d events, last %v", len(events), events[len(events)-1])
	}
	inRing := r.Events(Filter{}, 0)
	if merged := Merge(inRing, events); len(merged) != len(inRing) {
		t.Fatalf("%d events merged, want %d", len(merged), len(inRing))
	}
}

func TestFilter(t *testing.T) {
	e := Event{At: HLC{Wall: 5}, Request: "r", Group: "g", Host: "h", Domain: "fd-a", FailureDomain: "fd-b", Change: "c"}
	for _, f := range []Filter{{}, {Request: "r"}, {Group: "g"}, {Host: "h"}, {Domain: "fd-a"}, {Domain: "fd-b"}, {Change: "c"}, {After: HLC{Wall: 4}}} {
		if !f.Match(e) {
			t.Errorf("%+v does not match", f)
		}
	}
	for _, f := range []Filter{{Request: "x"}, {Group: "x"}, {Host: "x"}, {Domain: "x"}, {Change: "x"}, {After: HLC{Wall: 5}}, {Request: "r", Group: "x"}} {
		if f.Match(e) {
			t.Errorf("%+v matches", f)
		}
	}
}

func TestPageShowsLanesAndEscapes(t *testing.T) {
	events := []Event{
		{At: HLC{Wall: 1e9}, Process: "keeper/1", Kind: ChangeAccepted, Change: "c-1", Revision: 7},
		{At: HLC{Wall: 2e9}, Process: "gate/g1", Kind: ViewInstalled, Change: "c-1", Revision: 7},
		{At: HLC{Wall: 3e9}, Process: "gate/g1", Kind: OrderSent, Group: "assistant-1", Host: "h1", Domain: "fd-a", Text: "<script>alert(1)</script>"},
	}
	var b strings.Builder
	if err := WriteHTML(&b, events); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"process keeper/1", "process gate/g1", "views", "orders", "domain fd-a", "group assistant-1", "<polyline", "change=c-1"} {
		if !strings.Contains(b.String(), part) {
			t.Errorf("page has no %q", part)
		}
	}
	for _, part := range []string{"<script", "href=", "src=", "url("} {
		if strings.Contains(b.String(), part) {
			t.Errorf("page has %q", part)
		}
	}
	many := make([]Event, maxPageEvents+5)
	if p := newPage(many); p.Left != 5 || len(p.Lines) != maxPageEvents {
		t.Errorf("%d left out, %d lines", p.Left, len(p.Lines))
	}
}
