package stream

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sesamemux/sesamemux/pkg/edge/infer"
)

func init() {
	if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "500")); err != nil {
		panic(err)
	}
}

// answer is the stream of an attempt from an offset to its end marker.
func answer(attempt, from, tokens int) []string {
	var events []string
	for i := from; i < tokens; i++ {
		events = append(events, event(attempt, i, token(i)))
	}
	finish := `{"choices":[{"delta":{},"finish_reason":"stop"}]}`
	return append(events, event(attempt, tokens, finish), event(attempt, tokens, infer.DoneMarker))
}

func token(i int) string {
	return fmt.Sprintf(`{"choices":[{"delta":{"content":"t%d "},"finish_reason":null}]}`, i)
}

func event(attempt, offset int, data string) string {
	id := infer.EventID{Request: "r.1", Attempt: attempt, Offset: offset}
	return "id: " + string(id.Append(nil)) + "\r\ndata: " + data + "\n\n"
}

// follow forwards one body and returns whether the answer is whole.
func follow(t *Tracker, body string, out *Assembler) (bool, error) {
	r := NewReader(strings.NewReader(body))
	for {
		ev, err := r.Next()
		if err == io.EOF {
			return false, ErrTruncated
		}
		if err != nil {
			return false, err
		}
		v, err := t.Accept(ev)
		if err != nil {
			return false, err
		}
		switch v {
		case Forward:
			if err := out.Add(ev.Data); err != nil {
				return false, err
			}
		case Complete:
			return true, nil
		case Drop:
		}
	}
}

// TestAnswerIsWholeOrBroken damages streams at random; each broken one is
// resumed at its offset. What was forwarded must be the answer.
func TestAnswerIsWholeOrBroken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(0, 8).Draw(t, "tokens")
		tracker, out := NewTracker("r.1", 0), &Assembler{}
		whole := false
		for attempt := 1; !whole && attempt <= 5; attempt++ {
			tracker.BeginAttempt(attempt)
			events := answer(attempt, tracker.Offset(), tokens)
			if attempt < 5 {
				events = damage(t, events, attempt, tokens)
			}
			var err error
			whole, err = follow(tracker, strings.Join(events, ""), out)
			if whole == (err != nil) {
				t.Fatalf("whole is %v, error %v", whole, err)
			}
		}
		want := ""
		for i := range tokens {
			want += fmt.Sprintf("t%d ", i)
		}
		if got := out.Completion().Choices[0].Message.Content; got != want || !whole {
			t.Fatalf("whole is %v, got %q, want %q", whole, got, want)
		}
	})
}

// damage repeats, swaps, adds late events, and cuts.
func damage(t *rapid.T, events []string, attempt, tokens int) []string {
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		i := rapid.IntRange(0, len(events)-1).Draw(t, "at")
		switch rapid.SampledFrom([]string{"repeat", "swap", "late", "cut", "cut bytes"}).Draw(t, "fault") {
		case "repeat":
			events = slices.Insert(events, i, events[i])
		case "swap":
			j := rapid.IntRange(0, len(events)-1).Draw(t, "with")
			events[i], events[j] = events[j], events[i]
		case "late":
			late := answer(attempt-1, 0, tokens)
			events = slices.Insert(events, i, late[min(i, len(late)-1)])
		case "cut":
			return events[:i]
		case "cut bytes":
			n := rapid.IntRange(0, len(events[i])).Draw(t, "bytes")
			return append(events[:i:i], events[i][:n])
		}
	}
	return events
}

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		data string
		want content
		err  error
	}{
		{token(1), content{token: true}, nil},
		{`{"choices":[{"delta":{"content":"a \"finish_reason\":null"},"finish_reason":"stop"}]}`, content{token: true, finish: true}, nil},
		{`{"choices":[{"delta":{},"finish_reason":"length"}]}`, content{finish: true}, nil},
		{`{"choices":[],"usage":{}}`, content{}, nil},
		{`{"error":{"message":"m"}}`, content{}, ErrUpstream},
		{`{"choices":`, content{}, ErrMalformed},
	} {
		got, err := classify([]byte(c.data))
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s: got %+v, %v", c.data, got, err)
		}
	}
}
