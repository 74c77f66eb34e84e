package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/memconn"
)

// newTestEndChecker returns an endChecker at the host e and the number of its dials.
func newTestEndChecker(n *memconn.Network) (*endChecker, *atomic.Int64) {
	var dials atomic.Int64
	dial, mono := n.Dialer("e"), clock.NewMonotonic()
	return newEndChecker(func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		return dial(ctx, address)
	}, func() time.Duration { return time.Duration(mono.Now()) }), &dials
}

func TestUpstreamThatWasAliveBeforeIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memconn.New(time.Millisecond)
		n.Listen("p", "p:80")
		e, _ := newTestEndChecker(n)
		who := incarnation{"p", 1}
		if state := e.check(e.now(), who, "p:80"); state != upstreamAlive {
			t.Fatalf("a living upstream is %s", state)
		}
		time.Sleep(endCheckTTL / 2)
		n.Exit("p")
		if state := e.check(e.now(), who, "p:80"); state != upstreamEnded {
			t.Errorf("an upstream that ended %v after a check is %s", endCheckTTL/2, state)
		}
	})
}

// TestChecksOfOneUpstreamShareConnections: 20 requests break off within a check's time.
func TestChecksOfOneUpstreamShareConnections(t *testing.T) {
	for want, end := range map[endState]func(n *memconn.Network){
		upstreamAlive:   func(*memconn.Network) {},
		upstreamEnded:   func(n *memconn.Network) { n.Exit("p") },
		endStateUnknown: func(n *memconn.Network) { n.Cut("e", "p") },
	} {
		t.Run(string(want), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memconn.New(time.Millisecond)
				n.Listen("p", "p:80")
				end(n)
				e, dials := newTestEndChecker(n)
				var work sync.WaitGroup
				for range 20 {
					work.Go(func() {
						if state := e.check(e.now(), incarnation{"p", 1}, "p:80"); state != want {
							t.Errorf("the upstream is %s, want %s", state, want)
						}
					})
					time.Sleep(50 * time.Microsecond)
				}
				work.Wait()
				if n := dials.Load(); n > 2 {
					t.Errorf("%d connections for 20 checks", n)
				}
			})
		})
	}
}

// TestUpstreamThatClosesItsListenerLastHasEnded: a process that ends closes its sockets in any
// order.
func TestUpstreamThatClosesItsListenerLastHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memconn.New(time.Millisecond)
		n.Listen("p", "p:80")
		e, _ := newTestEndChecker(n)
		time.AfterFunc(5*time.Millisecond, func() { n.Exit("p") })
		if state := e.check(e.now(), incarnation{"p", 1}, "p:80"); state != upstreamEnded {
			t.Errorf("an upstream whose listener closed 5ms after its connection is %s", state)
		}
	})
}

// TestUpstreamThatClosesNewConnectionsIsAlive: it has as many connections as it accepts.
func TestUpstreamThatClosesNewConnectionsIsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memconn.New(time.Millisecond)
		l := n.Listen("p", "p:80")
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_ = c.Close()
			}
		}()
		e, dials := newTestEndChecker(n)
		if state := e.check(e.now(), incarnation{"p", 1}, "p:80"); state != upstreamAlive || dials.Load() > 2 {
			t.Errorf("it is %s after %d connections", state, dials.Load())
		}
		_ = l.Close()
	})
}
