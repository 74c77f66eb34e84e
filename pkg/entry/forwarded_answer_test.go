package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// pausing sends the head and a part of an answer, is silent for 1.5 s, and sends the rest.
func pausing(status int, first, rest string) answerFunc {
	return func(c net.Conn, _ *http.Request, attempt string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Attempt: %s\r\nX-Sig: s\r\nContent-Length: %d\r\n\r\n%s", status, attempt, len(first)+len(rest), first)
		time.Sleep(1500 * time.Millisecond)
		_, err := io.WriteString(c, rest)
		return err == nil
	}
}

// Another upstream is there, but it can't replace an answer that has begun at the client.
func TestForwardedAnswerOfASilentUpstreamIsNotCut(t *testing.T) {
	first, rest := strings.Repeat("x", 2*maxBufferedAnswer), "end"
	for kind, status := range map[string]int{"again": http.StatusOK, "stream": http.StatusNotFound} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := pausing(status, first, rest)
				b := newHarness(t, map[string]answerFunc{"p1": answer, "p2": answer, "head1": answer, "head2": answer})
				if w := b.send("POST", "/"+kind+"/1", "x", nil); w.cut || w.body.String() != first+rest || b.total() != 1 {
					t.Errorf("cut %v, %d bytes of %d, sent %d times", w.cut, w.body.Len(), len(first)+len(rest), b.total())
				}
				time.Sleep(time.Minute) // let the upstream end
			})
		})
	}
}
