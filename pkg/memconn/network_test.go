package memconn

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const latency = time.Millisecond

func connect(t *testing.T, n *Network) (here, there net.Conn) {
	t.Helper()
	l := n.Listen("b", "b:1")
	here, err := n.Dialer("a")(context.Background(), "b:1")
	if err != nil {
		t.Fatal(err)
	}
	there, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return here, there
}

func TestCutDelaysWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		here, there := connect(t, n)
		n.Cut("a", "b")
		start := time.Now()
		if _, err := here.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Hour, func() { n.Heal("a", "b") })
		if _, err := io.ReadFull(there, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		if got := time.Since(start); got != time.Hour {
			t.Fatalf("arrived after %v, want 1h", got)
		}
	})
}

func TestOneWayCutPassesOppositeDirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		here, there := connect(t, n)
		n.Cut("a", "b")
		if _, err := there.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(here, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	})
}

func TestKillResetsAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		here, _ := connect(t, n)
		n.Kill("b")
		if _, err := here.Read(make([]byte, 1)); err == nil {
			t.Fatal("a connection to a killed host was not reset")
		}
		if _, err := n.Dialer("a")(context.Background(), "b:1"); err == nil {
			t.Fatal("a killed host takes connections")
		}
	})
}

func TestReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		here, _ := connect(t, n)
		_ = here.SetReadDeadline(time.Now().Add(time.Second))
		_, err := here.Read(make([]byte, 1))
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			t.Fatalf("read ended with %v, want a timeout", err)
		}
	})
}

func TestClosedListenerResetsQueuedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		l := n.Listen("b", "b:1")
		here, err := n.Dialer("a")(context.Background(), "b:1")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		_ = here.SetReadDeadline(time.Now().Add(time.Hour))
		if _, err := here.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read ended with %v, want a reset", err)
		}
	})
}
