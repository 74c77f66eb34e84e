package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestPartOfAnEventIsNoAnswerOfAStandby: the silent head is given up for a whole event only.
func TestPartOfAnEventIsNoAnswerOfAStandby(t *testing.T) {
	for name, others := range map[string]answerFunc{
		"breaks off": streamFrom(10, 0, "s", func(c net.Conn) { _, _ = io.WriteString(c, "5\r\nid: 9\r\n") }),
		"is silent":  streamFrom(10, 0, "s", func(c net.Conn) { _, _ = io.WriteString(c, "5\r\nid: 9\r\n"); time.Sleep(time.Minute) }),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				from := time.Now().Add(silenceBegin)
				answer := silentFirst(silentBetween(from, from.Add(silence)), others)
				b := newHarness(t, map[string]answerFunc{"head1": answer, "head2": answer})
				b.removeColdBound(b.gateway)
				w := b.send("POST", "/twice/1", "prompt", nil)
				if w.status != http.StatusOK || w.cut || !strings.HasSuffix(w.body.String(), "data: e10\n\n") {
					t.Errorf("answered %d, cut %v, body %q", w.status, w.cut, w.body.String())
				}
				time.Sleep(2 * time.Minute) // let the heads end
				b.assertNothingCounted("after the request")
			})
		})
	}
}
