package endcheck

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

// newTestChecker returns an Checker at the host e and the number of its dials.
func newTestChecker(n *memconn.Network) (*Checker, *atomic.Int64) {
	var dials atomic.Int64
	dial, mono := n.Dialer("e"), clock.NewMonotonic()
	return New(func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		return dial(ctx, address)
	}, func() time.Duration { return time.Duration(mono.Now()) }, nil), &dials
}

func TestUpstreamThatWasAliveBeforeIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memconn.New(time.Millisecond)
		n.Listen("p", "p:80")
		e, _ := newTestChecker(n)
		who := Incarnation{"p", 1}
		if state := e.Check(e.now(), who, "p:80"); state != Alive {
			t.Fatalf("a living upstream is %s", state)
		}
		time.Sleep(resultTTL / 2)
		n.Exit("p")
		if state := e.Check(e.now(), who, "p:80"); state != Ended {
			t.Errorf("an upstream that ended %v after a check is %s", resultTTL/2, state)
		}
	})
}

// TestChecksOfOneUpstreamShareConnections: 20 requests break off within a check's time.
func TestChecksOfOneUpstreamShareConnections(t *testing.T) {
	for want, end := range map[State]func(n *memconn.Network){
		Alive:   func(*memconn.Network) {},
		Ended:   func(n *memconn.Network) { n.Exit("p") },
		Unknown: func(n *memconn.Network) { n.Cut("e", "p") },
	} {
		t.Run(string(want), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memconn.New(time.Millisecond)
				n.Listen("p", "p:80")
				end(n)
				e, dials := newTestChecker(n)
				var work sync.WaitGroup
				for range 20 {
					work.Go(func() {
						if state := e.Check(e.now(), Incarnation{"p", 1}, "p:80"); state != want {
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
		e, _ := newTestChecker(n)
		time.AfterFunc(5*time.Millisecond, func() { n.Exit("p") })
		if state := e.Check(e.now(), Incarnation{"p", 1}, "p:80"); state != Ended {
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
		e, dials := newTestChecker(n)
		if state := e.Check(e.now(), Incarnation{"p", 1}, "p:80"); state != Alive || dials.Load() > 2 {
			t.Errorf("it is %s after %d connections", state, dials.Load())
		}
		_ = l.Close()
	})
}

func TestRefusalIsTheEndOnlyIfAnotherProcessSeesItToo(t *testing.T) {
	for _, want := range []State{Ended, LinkLost, Unknown} {
		synctest.Test(t, func(t *testing.T) {
			n, mono, asked := memconn.New(time.Millisecond), clock.NewMonotonic(), 0
			e := New(n.Dialer("e"), func() time.Duration { return time.Duration(mono.Now()) }, func(time.Duration, Incarnation, string) State {
				asked++
				return want
			})
			if state := e.Check(e.now(), Incarnation{"p", 1}, "p:80"); state != want || asked != 1 {
				t.Errorf("got %s after %d questions, want %s", state, asked, want)
			}
			n.Listen("p", "p:80")
			time.Sleep(2 * resultTTL)
			if state := e.Check(e.now(), Incarnation{"p", 1}, "p:80"); state != Alive || asked != 1 {
				t.Errorf("a living upstream is %s after %d questions", state, asked)
			}
		})
	}
}
