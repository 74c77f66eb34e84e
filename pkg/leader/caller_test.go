package leader

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/memconn"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// serveReferral serves calls at an address, which all are referred to another one.
func serveReferral(t *testing.T, network *memconn.Network, address, referral string) {
	t.Helper()
	server := rpc.NewServer()
	rpc.Handle(server, string(control.MethodFleetRead), func(context.Context, struct{}) (struct{}, error) {
		return struct{}{}, control.NewError(control.CodeNotLeader, "this coordinator does not lead", control.NotLeader{Leader: referral})
	})
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	l := network.Listen(host, address)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		server.Close()
		network.Kill(host)
	})
}

func TestExcludedAddressIsNotCalledThoughOthersReferToIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memconn.New(0)
		serveReferral(t, network, "b:1", "a:1")
		serveReferral(t, network, "c:1", "a:1")
		caller := NewCaller([]string{"b:1", "c:1"}, network.Dialer("a"))
		defer caller.Close()
		caller.Exclude("a:1")
		caller.AddAddress("a:1")
		caller.HintLeader("a:1")
		for _, next := range []string{"c:1", "b:1", "c:1"} {
			var result struct{}
			if err := caller.CallOnce(t.Context(), control.MethodFleetRead, struct{}{}, &result); err == nil {
				t.Fatal("the call was answered")
			}
			if got := caller.Address(); got != next {
				t.Errorf("the next call goes to %s, want %s", got, next)
			}
		}
	})
}
