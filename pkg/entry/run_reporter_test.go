package entry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/logging"
)

func TestReportsBackOffWhileNoCoordinatorAcknowledgesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		refuse := func(context.Context, string) (net.Conn, error) {
			calls.Add(1)
			return nil, net.ErrClosed
		}
		g := New(Config{
			Name: "e1", Coordinators: []string{"c1:1"}, Headers: testHeaders, Decode: func([]byte) (*catalog.Set, error) { return testSet(), nil },
			Dial: refuse, DialBackend: refuse, Clock: clock.NewMonotonic(), Logger: logging.Discard(),
		})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.reporter.run(ctx, g)
		}()
		g.reporter.crashed(crashReport{fingerprint: "f"})
		time.Sleep(10 * time.Second)
		if n := calls.Load(); n < 20 || n > 30 {
			t.Errorf("called %d times in 10 s", n)
		}
		stop()
		<-done
	})
}
