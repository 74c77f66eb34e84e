package access

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

// rights tells who may call each method, apart from the table in the code. An
// operator's methods are left out.
var rights = map[control.Method][]Role{
	control.MethodRaft:        {Keeper},
	control.MethodGateSync:    {Gate, Keeper},
	control.MethodOnceIntent:  {Gate, Keeper},
	control.MethodOnceOutcome: {Gate, Keeper},
	control.MethodCrashReport: {Gate, Keeper},
	control.MethodRanWell:     {Gate, Keeper},

	control.MethodFleetSync:     {Gate, Keeper},
	control.MethodFleetAnnounce: {Keeper},
	control.MethodFleetDepart:   {Keeper},
	control.MethodFleetSuspect:  {Gate},
	control.MethodFleetChange:   {Keeper},
	control.MethodFleetRead:     {Keeper},
	control.MethodFleetDocument: {Gate, Keeper},
	control.MethodFleetJoin:     {Keeper},
	control.MethodFleetPlace:    {Gate},
	control.MethodFleetPlaced:   {Gate},
}

func openLinks(t *testing.T, f Files) *Transport {
	t.Helper()
	l, err := NewTransport(settings.TLS{Cert: f.Cert, Key: f.Key, CA: f.CA}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// serveCounted serves every method with a handler that counts into ran.
func serveCounted(t *testing.T, l *Transport, ran map[control.Method]int) string {
	t.Helper()
	listener, err := l.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := rpc.NewServer(rpc.WithAuthorizer(l))
	for _, m := range allMethods(t) {
		rpc.Handle(s, string(m), func(context.Context, struct{}) (struct{}, error) {
			ran[m]++
			return struct{}{}, nil
		})
	}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() {
		s.Close()
		_ = listener.Close()
	})
	return listener.Addr().String()
}

// TestEachMethodWithEachRole plays every method over TLS as every role, as a
// request and as a notification. What has no right reaches no handler.
func TestEachMethodWithEachRole(t *testing.T) {
	a := newAuthority(t, "shops")
	ran := make(map[control.Method]int)
	address := serveCounted(t, openLinks(t, issue(t, a, a, Keeper, "k1", loopback)), ran)
	for _, role := range []Role{Operator, Keeper, Gate, Upstream} {
		client := rpc.NewClient(address, openLinks(t, issue(t, a, a, role, "caller", loopback)).Dial(Keeper))
		defer client.Close()
		for _, m := range allMethods(t) {
			right, listed := rights[m]
			if !listed {
				right = []Role{Operator}
			}
			want := 0
			if slices.Contains(right, role) {
				want = 2
			}
			before := ran[m]
			if err := client.Notify(t.Context(), string(m), struct{}{}); err != nil {
				t.Fatal(err)
			}
			// Notifications are done before what comes after them is begun.
			err := client.Call(t.Context(), string(m), struct{}{}, nil)
			if did := ran[m] - before; did != want {
				t.Errorf("%s as %s ran %d times, want %d", m, role, did, want)
			}
			if denied := isDenied(err); denied != (want == 0) || !denied && err != nil {
				t.Errorf("%s as %s: %v", m, role, err)
			}
		}
	}
}

func isDenied(err error) bool {
	var coded *jsonrpc2.Error
	return errors.As(err, &coded) && coded.Code == control.CodeDenied
}

// TestPlainConnectionIsDenied gives a protected server a connection
// that never was under TLS.
func TestPlainConnectionIsDenied(t *testing.T) {
	a := newAuthority(t, "shops")
	l := openLinks(t, issue(t, a, a, Keeper, "k1", loopback))
	near, far := net.Pipe()
	ran := false
	s := rpc.NewServer(rpc.WithAuthorizer(l))
	defer s.Close()
	rpc.Handle(s, string(control.MethodApply), func(context.Context, struct{}) (struct{}, error) {
		ran = true
		return struct{}{}, nil
	})
	s.ServeConn(far)
	client := rpc.NewClient("pipe", func(context.Context, string) (net.Conn, error) { return near, nil })
	defer client.Close()
	err := client.Call(t.Context(), string(control.MethodApply), struct{}{}, nil)
	if !isDenied(err) || ran {
		t.Fatalf("ran %v, error is %v", ran, err)
	}
}
