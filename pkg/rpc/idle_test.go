package rpc

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/memconn"
)

func TestClientClosesIdleConnectionsAndPingsOnlySilentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memconn.New(time.Millisecond)
		server := NewServer()
		var pings, dials atomic.Int64
		server.handlers[pingMethod] = func(context.Context, json.RawMessage) (any, error) {
			pings.Add(1)
			return struct{}{}, nil
		}
		Handle(server, "echo", func(_ context.Context, n int) (int, error) { return n, nil })
		Handle(server, "wait", func(_ context.Context, d time.Duration) (int, error) { time.Sleep(d); return 0, nil })
		l := network.Listen("s", "s:1")
		go func() { _ = server.Serve(l) }()
		dial := network.Dialer("c")
		client := NewClient("s:1", func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			return dial(ctx, address)
		})
		call := func(method string, params any) {
			var n int
			if err := client.Call(context.Background(), method, params, &n); err != nil {
				t.Errorf("%s: %v", method, err)
			}
		}
		for range 50 {
			call("echo", 1)
			time.Sleep(100 * time.Millisecond)
		}
		if n := pings.Load(); n > 1 {
			t.Errorf("%d pings on a connection with an answer each 0.1 s", n)
		}
		call("wait", 2*idleTimeout)
		if n := pings.Load(); n < int64(2*idleTimeout/pingInterval)-2 {
			t.Errorf("%d pings while an answer was awaited for %v", n, 2*idleTimeout)
		}
		if n := dials.Load(); n != 1 {
			t.Errorf("%d connections before the client was idle, want 1", n)
		}
		time.Sleep(idleTimeout + 2*pingInterval)
		before := pings.Load()
		time.Sleep(time.Minute)
		if n := pings.Load(); n != before {
			t.Errorf("%d pings after the connection was idle", n-before)
		}
		call("echo", 1)
		if n := dials.Load(); n != 2 {
			t.Errorf("%d connections after the client was idle, want 2", n)
		}
		client.Close()
		server.Close()
		_ = l.Close()
		time.Sleep(time.Minute)
	})
}

func TestClientWithoutPingsDropsAConnectionThatWentSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memconn.New(time.Millisecond)
		server := NewServer()
		Handle(server, "echo", func(_ context.Context, n int) (int, error) { return n, nil })
		Handle(server, "wait", func(_ context.Context, d time.Duration) (int, error) { time.Sleep(d); return 0, nil })
		l := network.Listen("s", "s:1")
		go func() { _ = server.Serve(l) }()
		var dials atomic.Int64
		dial := network.Dialer("c")
		client := NewClient("s:1", func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			return dial(ctx, address)
		}, WithoutPings())
		call := func(method string, params any, timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			var n int
			return client.Call(ctx, method, params, &n)
		}
		late := make(chan error, 1)
		go func() { late <- call("wait", 10*time.Second, time.Second) }()
		time.Sleep(500 * time.Millisecond)
		if err := call("echo", 1, time.Second); err != nil {
			t.Error(err)
		}
		if err := <-late; err == nil {
			t.Error("a call is answered before its time")
		}
		if err := call("echo", 1, time.Second); err != nil || dials.Load() != 1 {
			t.Errorf("%d connections though answers arrived: %v", dials.Load(), err)
		}
		network.Cut("s", "c")
		if err := call("echo", 1, time.Second); err == nil {
			t.Error("a call is answered over a cut link")
		}
		network.Heal("s", "c")
		if err := call("echo", 1, time.Second); err != nil || dials.Load() != 2 {
			t.Errorf("%d connections after one went silent, want 2: %v", dials.Load(), err)
		}
		client.Close()
		server.Close()
		_ = l.Close()
		time.Sleep(time.Minute)
	})
}
