package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stuckWriter is a client that reads nothing until it is released.
type stuckWriter struct {
	recorder
	release chan struct{}
	leaves  bool
}

func (w *stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	if w.leaves {
		return 0, errors.New("client left")
	}
	return w.recorder.Write(b)
}

// TestStandbyOfAnEndedRequestLeavesNoPlacement: the standby takes over while the answer of the first
// upstream, an error, is written to a slow client.
func TestStandbyOfAnEndedRequestLeavesNoPlacement(t *testing.T) {
	for name, leaves := range map[string]bool{"client reads on": false, "client leaves": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				late := func(after time.Duration, answer answerFunc) answerFunc {
					return func(c net.Conn, r *http.Request, attempt string) bool {
						time.Sleep(after)
						return answer(c, r, attempt)
					}
				}
				answer := silentFirst(late(time.Second, fixedAnswer(404, "X-Sig: s\r\n", "none")), late(500*time.Millisecond, streamFrom(10, 10, "s", nil)))
				b := newHarness(t, map[string]answerFunc{"head1": answer, "head2": answer})
				b.removeColdBound(b.gateway)
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://shop.example/stream/1", strings.NewReader("p"))
				if err != nil {
					t.Fatal(err)
				}
				r.RequestURI = "/stream/1"
				r.Header.Set("Authorization", "Bearer key-1")
				r.Header.Set(testHeaders.Model, "m")
				r.Header.Set(testHeaders.Attempt, "a-1")
				w := &stuckWriter{recorder: recorder{header: http.Header{}}, release: make(chan struct{}), leaves: leaves}
				time.AfterFunc(2*time.Second, func() {
					if leaves {
						leave()
					}
					close(w.release)
				})
				func() {
					defer func() { _ = recover() }()
					b.gateway.ServeHTTP(w, r)
				}()
				time.Sleep(2 * time.Minute) // let the heads end
				if w.status != http.StatusNotFound || b.total() != 2 {
					t.Errorf("answered %d after %d requests; the standby is missing", w.status, b.total())
				}
				b.assertNothingCounted("after the request")
			})
		})
	}
}
