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

func connect(t *testing.T, n *Network) (client, server net.Conn) {
	t.Helper()
	l := n.Listen("b", "b:1")
	client, err := n.Dialer("a")(context.Background(), "b:1")
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, server
}

func TestCutDelaysWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		client, server := connect(t, n)
		n.Cut("a", "b")
		start := time.Now()
		if _, err := client.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Hour, func() { n.Heal("a", "b") })
		if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		if got := time.Since(start); got != time.Hour {
			t.Fatalf("data arrived after %v, want 1h", got)
		}
	})
}

func TestOneWayCutPassesOppositeDirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		client, server := connect(t, n)
		n.Cut("a", "b")
		if _, err := server.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(client, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	})
}

func TestKillResetsAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		client, _ := connect(t, n)
		n.Kill("b")
		if _, err := client.Read(make([]byte, 1)); err == nil {
			t.Fatal("connection to a killed host was not reset")
		}
		if _, err := n.Dialer("a")(context.Background(), "b:1"); err == nil {
			t.Fatal("killed host accepted a connection")
		}
	})
}

func TestExitDeliversWhatWasWrittenAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		client, server := connect(t, n)
		if _, err := server.Write([]byte("last")); err != nil {
			t.Fatal(err)
		}
		n.Exit("b")
		if got, err := io.ReadAll(client); string(got) != "last" || err != nil {
			t.Errorf("read %q, %v from a host that exited", got, err)
		}
		if _, err := n.Dialer("a")(context.Background(), "b:1"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dialing a host that exited returned %v", err)
		}
	})
}

func TestReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		client, _ := connect(t, n)
		_ = client.SetReadDeadline(time.Now().Add(time.Second))
		_, err := client.Read(make([]byte, 1))
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			t.Fatalf("read returned %v, want a time-out", err)
		}
	})
}

func TestClosedListenerResetsQueuedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(latency)
		l := n.Listen("b", "b:1")
		client, err := n.Dialer("a")(context.Background(), "b:1")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		_ = client.SetReadDeadline(time.Now().Add(time.Hour))
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read returned %v, want a connection reset", err)
		}
	})
}

func TestRefusedHostKeepsOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		client, server := connect(t, n)
		n.Refuse("a", "b")
		if _, err := n.Dialer("a")(t.Context(), "b:1"); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("got %v, want a refused connection", err)
		}
		if _, err := client.Write([]byte("x")); err != nil {
			t.Error(err)
		}
		if _, err := server.Read(make([]byte, 1)); err != nil {
			t.Error(err)
		}
		n.ResetBetween("a", "b")
		if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("got %v, want a reset connection", err)
		}
		n.Accept("a", "b")
		if c, err := n.Dialer("a")(t.Context(), "b:1"); err != nil {
			t.Error(err)
		} else {
			_ = c.Close()
		}
	})
}
