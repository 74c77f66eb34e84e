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
