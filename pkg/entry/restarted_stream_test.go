package entry

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// ignoresLastEventID starts each stream anew from an event.
func ignoresLastEventID(first string) answerFunc {
	return func(c net.Conn, r *http.Request, attempt string) bool {
		r.Header.Set("Last-Event-Id", first)
		return streamFrom(10, 10, "s", nil)(c, r, attempt)
	}
}

// inTurn answers the first request with the first function, and so on; the last one answers the rest.
func inTurn(answers ...answerFunc) answerFunc {
	turn := make(chan answerFunc, len(answers))
	for _, a := range answers[:len(answers)-1] {
		turn <- a
	}
	return func(c net.Conn, r *http.Request, attempt string) bool {
		select {
		case a := <-turn:
			return a(c, r, attempt)
		default:
			return answers[len(answers)-1](c, r, attempt)
		}
	}
}

func TestResumedStreamNeverRepeatsOrSkipsEvents(t *testing.T) {
	breaks := func() answerFunc { return streamFrom(10, 4, "s", func(c net.Conn) { _ = c.Close() }) }
	sound := streamFrom(10, 10, "s", nil)
	for name, resumesAt := range map[string]string{"from the first event": "0", "one event too early": "3", "one event too late": "5"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := inTurn(breaks(), ignoresLastEventID(resumesAt), sound)
				b := newHarness(t, map[string]answerFunc{"head1": answer, "head2": answer, "head3": answer})
				if w := b.send("POST", "/stream/1", "prompt", nil); w.cut || w.body.String() != events10() {
					t.Errorf("cut %v, body %q", w.cut, w.body.String())
				}
				time.Sleep(2 * time.Minute)
			})
			synctest.Test(t, func(t *testing.T) {
				answer := inTurn(breaks(), ignoresLastEventID(resumesAt))
				b := newHarness(t, map[string]answerFunc{"head1": answer, "head2": answer})
				if w := b.send("POST", "/stream/1", "prompt", nil); !w.cut || !strings.HasPrefix(events10(), w.body.String()) {
					t.Errorf("cut %v, body %q", w.cut, w.body.String())
				}
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

func TestStreamThatRepeatsAnEventContinuesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		repeats := func(c net.Conn, r *http.Request, attempt string) bool {
			return streamFrom(10, 4, "s", func(c net.Conn) { _, _ = c.Write([]byte("10\r\nid: 3\ndata: e3\n\n\r\n0\r\n\r\n")) })(c, r, attempt)
		}
		answer := inTurn(repeats, streamFrom(10, 10, "s", nil))
		b := newHarness(t, map[string]answerFunc{"head1": answer, "head2": answer})
		if w := b.send("POST", "/stream/1", "prompt", nil); w.cut || w.body.String() != events10() {
			t.Errorf("cut %v, body %q", w.cut, w.body.String())
		}
		time.Sleep(2 * time.Minute)
	})
}
