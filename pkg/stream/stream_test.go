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

// answerEvents returns the events of an attempt from an offset to the end marker.
func answerEvents(attempt, from, tokens int) []string {
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

// readStream adds the events of one body to out and reports whether the answer is complete.
func readStream(t *Tracker, body string, out *Assembler) (bool, error) {
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

// TestBrokenStreamsResumeToFullAnswer injects random faults into streams and resumes each
// broken one at its offset. The forwarded text must be exactly the answer.
func TestBrokenStreamsResumeToFullAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(0, 8).Draw(t, "tokens")
		tracker, out := NewTracker("r.1", 0), &Assembler{}
		complete := false
		for attempt := 1; !complete && attempt <= 5; attempt++ {
			tracker.BeginAttempt(attempt)
			events := answerEvents(attempt, tracker.Offset(), tokens)
			if attempt < 5 {
				events = injectFaults(t, events, attempt, tokens)
			}
			var err error
			complete, err = readStream(tracker, strings.Join(events, ""), out)
			if complete == (err != nil) {
				t.Fatalf("complete %v, error %v", complete, err)
			}
		}
		want := ""
		for i := range tokens {
			want += fmt.Sprintf("t%d ", i)
		}
		if got := out.Completion().Choices[0].Message.Content; got != want || !complete {
			t.Fatalf("complete %v, got %q, want %q", complete, got, want)
		}
	})
}

// injectFaults repeats and swaps events, inserts events of the previous attempt, and
// truncates the stream.
func injectFaults(t *rapid.T, events []string, attempt, tokens int) []string {
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		i := rapid.IntRange(0, len(events)-1).Draw(t, "at")
		switch rapid.SampledFrom([]string{"repeat", "swap", "late", "cut", "cut bytes"}).Draw(t, "fault") {
		case "repeat":
			events = slices.Insert(events, i, events[i])
		case "swap":
			j := rapid.IntRange(0, len(events)-1).Draw(t, "with")
			events[i], events[j] = events[j], events[i]
		case "late":
			late := answerEvents(attempt-1, 0, tokens)
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
		want eventContent
		err  error
	}{
		{token(1), eventContent{token: true}, nil},
		{`{"choices":[{"delta":{"content":"a \"finish_reason\":null"},"finish_reason":"stop"}]}`, eventContent{token: true, finish: true}, nil},
		{`{"choices":[{"delta":{},"finish_reason":"length"}]}`, eventContent{finish: true}, nil},
		{`{"choices":[],"usage":{}}`, eventContent{}, nil},
		{`{"error":{"message":"m"}}`, eventContent{}, ErrUpstream},
		{`{"choices":`, eventContent{}, ErrMalformed},
	} {
		got, err := classify([]byte(c.data))
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s: got %+v, %v", c.data, got, err)
		}
	}
}
