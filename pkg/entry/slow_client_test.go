package entry

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowRecorder is a client that reads nothing for a while after its first event.
type slowRecorder struct {
	recorder
	pause time.Duration
}

func (r *slowRecorder) Write(b []byte) (int, error) {
	n, err := r.recorder.Write(b)
	time.Sleep(r.pause)
	r.pause = 0
	return n, err
}

// TestSlowClientIsNoSilenceOfItsUpstream: the time in which a client reads nothing was taken for a
// silence of the head, which got no further requests.
func TestSlowClientIsNoSilenceOfItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"head1": streamFrom(10, 10, "s", nil), "head2": streamFrom(10, 10, "s", nil)})
		b.removeColdBound(b.gateway)
		w := &slowRecorder{recorder: recorder{header: http.Header{}}, pause: 2500 * time.Millisecond}
		r, err := http.NewRequestWithContext(t.Context(), "POST", "http://shop.example/stream/1", strings.NewReader("prompt"))
		if err != nil {
			t.Fatal(err)
		}
		r.RequestURI = "/stream/1"
		r.Header.Set("Authorization", "Bearer key-1")
		r.Header.Set(testHeaders.Model, "m")
		b.gateway.ServeHTTP(w, r) // panics if the answer is aborted
		if w.body.String() != events10() || b.total() != 1 {
			t.Errorf("%d requests, body %q", b.total(), w.body.String())
		}
		for _, u := range b.upstreams {
			if s := b.gateway.balancer.targets[u.ID].suspectedAt; s != 0 {
				t.Errorf("%s is suspected", u.ID)
			}
		}
	})
}
