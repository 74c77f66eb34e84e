package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/logging"
)

// TestLinksAreTriedAgainAfterAQuestionFoundThemLost: while the host is cut off no request fails, so that nothing
// else makes it try.
func TestLinksAreTriedAgainAfterAQuestionFoundThemLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost atomic.Bool
		connect := func(context.Context, string) (net.Conn, error) {
			if lost.Load() {
				return nil, eris.New("refused")
			}
			ours, theirs := net.Pipe()
			go func() {
				_, _ = theirs.Read(make([]byte, 512))
				_, _ = theirs.Write([]byte("HTTP/1.1 421 Misdirected Request"))
			}()
			return ours, nil
		}
		began := time.Now()
		w := newLinkWatcher(Config{DialBackend: connect, Logger: logging.Discard()}, func() time.Duration { return time.Since(began) },
			func(u witness) (*http.Request, error) {
				return http.NewRequest(http.MethodGet, "http://"+u.address, nil)
			}, func(int) []witness { return []witness{{"a:1", "s"}, {"b:1", "s"}, {"c:1", "s"}} }, func(bool) {})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { w.run(ctx); close(done) }()
		time.Sleep(time.Second)
		lost.Store(true)
		if w.confirm(time.Since(began)) || !w.cutOff() {
			t.Error("the loss of all links is not found")
		}
		time.Sleep(time.Second)
		lost.Store(false)
		time.Sleep(2 * linkRetryInterval)
		if w.cutOff() {
			t.Errorf("still cut off %v after the links are back", 2*linkRetryInterval)
		}
		stop()
		<-done
	})
}
