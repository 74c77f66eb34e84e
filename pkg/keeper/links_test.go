package keeper

import (
	"io"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/access"
	"github.com/sesamemux/sesamemux/pkg/access/accesstest"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/settings"
)

// TestKeeperRejectsForeignCertificates starts keepers with the certificate of another role or
// cluster, or without a key. None of them may run.
func TestKeeperRejectsForeignCertificates(t *testing.T) {
	shops := accesstest.New(t, "shops")
	missing := shops.Issue(access.Keeper, "k1")
	missing.Key += ".none"
	for name, files := range map[string]settings.TLS{
		"gate":               shops.Issue(access.Gate, "g1"),
		"operator":           shops.Issue(access.Operator, "ana"),
		"another deployment": accesstest.New(t, "other").Issue(access.Keeper, "k1"),
		"missing key":        missing,
	} {
		s := settings.Keeper{ID: 1, Cluster: "shops", RPCListen: "127.0.0.1:0", DataDir: t.TempDir(), TLS: files}
		if err := RunDaemon(t.Context(), s, io.Discard); err == nil {
			t.Errorf("keeper ran with certificate %q", name)
		}
	}
}

// Results of a call.
const (
	answered    = "answered"
	denied      = "denied"
	unreachable = "no connection"
)

func callResult(err error) string {
	var coded *jsonrpc2.Error
	switch {
	case err == nil:
		return answered
	case !eris.As(err, &coded):
		return unreachable
	case coded.Code == control.CodeDenied:
		return denied
	}
	return coded.Message
}

// TestKeeperUnderTLS checks which methods of a keeper each role may call under TLS.
func TestKeeperUnderTLS(t *testing.T) {
	shops := accesstest.New(t, "shops")
	address := startKeepers(t, testCluster{links: shops.Transport(access.Keeper, "k1"), size: 1})[0].address
	plain := &access.Transport{}
	for _, c := range []struct {
		name   string
		links  *access.Transport
		method control.Method
		want   string
	}{
		{"operator", shops.Transport(access.Operator, "ana"), control.MethodKeeperStatus, answered},
		{"gate as operator", shops.Transport(access.Gate, "g1"), control.MethodDrain, denied},
		{"gate as another gate", shops.Transport(access.Gate, "g2"), control.MethodGateSync, denied},
		{"keeper as a gate", shops.Transport(access.Keeper, "k2"), control.MethodGateSync, denied},
		{"upstream as gate", shops.Transport(access.Upstream, "u1"), control.MethodGateSync, denied},
		{"operator as keeper", shops.Transport(access.Operator, "eva"), control.MethodRaft, denied},
		{"plain", plain, control.MethodKeeperStatus, unreachable},
		{"another deployment", accesstest.New(t, "shops").Transport(access.Operator, "ana"), control.MethodKeeperStatus, unreachable},
	} {
		client := rpc.NewClient(address, c.links.Dial(access.Keeper))
		defer client.Close()
		err := client.Call(t.Context(), string(c.method), struct{}{}, nil)
		for c.want != unreachable && callResult(err) == unreachable { // the dial may time out on a busy machine
			err = client.Call(t.Context(), string(c.method), struct{}{}, nil)
		}
		if got := callResult(err); got != c.want {
			t.Errorf("%s: %s, want %s: %v", c.name, got, c.want, err)
		}
	}
}
