package entry

import (
	"context"
	"net"
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
			ours, _ := net.Pipe()
			return ours, nil
		}
		began := time.Now()
		w := newLinkWatcher(Config{DialBackend: connect, Logger: logging.Discard()}, func() time.Duration { return time.Since(began) },
			func(int) []string { return []string{"a:1", "b:1", "c:1"} }, func(bool) {})
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
