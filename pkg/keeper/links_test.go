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

// TestKeeperTakesItsOwnCertificateAlone starts keepers with files that must not
// protect them, or don't.
func TestKeeperTakesItsOwnCertificateAlone(t *testing.T) {
	shops := accesstest.New(t, "shops")
	missing := shops.Issue(access.Keeper, "k1")
	missing.Key += ".none"
	for name, files := range map[string]settings.TLS{
		"a gate's":                   shops.Issue(access.Gate, "g1"),
		"an operator's":              shops.Issue(access.Operator, "ana"),
		"another deployment's":       accesstest.New(t, "other").Issue(access.Keeper, "k1"),
		"one whose key is not there": missing,
	} {
		s := settings.Keeper{ID: 1, Cluster: "shops", RPCListen: "127.0.0.1:0", DataDir: t.TempDir(), TLS: files}
		if err := RunDaemon(t.Context(), s, io.Discard); err == nil {
			t.Errorf("a keeper ran with the certificate %s", name)
		}
	}
}

// Endings of a call.
const (
	answered  = "answered"
	denied    = "denied"
	unreached = "no connection"
)

func ending(err error) string {
	var coded *jsonrpc2.Error
	switch {
	case err == nil:
		return answered
	case !eris.As(err, &coded):
		return unreached
	case coded.Code == control.CodeDenied:
		return denied
	}
	return coded.Message
}

// TestKeeperUnderTLS asks a keeper for its state and for a change of it.
func TestKeeperUnderTLS(t *testing.T) {
	shops := accesstest.New(t, "shops")
	address := startQuorum(t, quorum{links: shops.Transport(access.Keeper, "k1"), size: 1})[0].address
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
		{"plain", plain, control.MethodKeeperStatus, unreached},
		{"another deployment", accesstest.New(t, "shops").Transport(access.Operator, "ana"), control.MethodKeeperStatus, unreached},
	} {
		client := rpc.NewClient(address, c.links.Dial(access.Keeper))
		defer client.Close()
		err := client.Call(t.Context(), string(c.method), struct{}{}, nil)
		for c.want != unreached && ending(err) == unreached { // a busy machine
			err = client.Call(t.Context(), string(c.method), struct{}{}, nil)
		}
		if got := ending(err); got != c.want {
			t.Errorf("%s: %s, want %s: %v", c.name, got, c.want, err)
		}
	}
}
