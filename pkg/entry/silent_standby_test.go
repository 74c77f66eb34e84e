package entry

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// silentFirst plays the first request with first and all others with others.
func silentFirst(first, others answerFunc) answerFunc {
	calls := make(chan struct{}, 1)
	return func(c net.Conn, r *http.Request, attempt string) bool {
		select {
		case calls <- struct{}{}:
			return first(c, r, attempt)
		default:
			return others(c, r, attempt)
		}
	}
}

// TestSilentStandbyOfABrokenStreamIsGivenUp: a standby that became the next attempt while it was
// silent was waited for until the deadline.
func TestSilentStandbyOfABrokenStreamIsGivenUp(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"connection closed": func(c net.Conn) { time.Sleep(600 * time.Millisecond); _ = c.Close() },
		"invalid chunk":     func(c net.Conn) { time.Sleep(600 * time.Millisecond); _, _ = io.WriteString(c, "zz\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent := func(net.Conn, *http.Request, string) bool { time.Sleep(time.Minute); return false }
				answer := silentFirst(streamFrom(10, 4, "s", end), silentFirst(silent, streamFrom(10, 10, "s", nil)))
				b := newHarness(t, map[string]answerFunc{"head1": answer, "head2": answer, "head3": answer})
				b.removeColdBound(b.gateway)
				before := time.Now()
				w := b.send("POST", "/stream/1", "prompt", nil)
				if w.status != http.StatusOK || w.cut || w.body.String() != events10() {
					t.Errorf("answered %d, cut %v, body %q after %v", w.status, w.cut, w.body.String(), time.Since(before))
				}
				if n := b.total(); n != 3 {
					t.Errorf("sent to %d heads", n)
				}
				time.Sleep(2 * time.Minute) // let the heads end
				b.assertNothingCounted("after the request")
			})
		})
	}
}
