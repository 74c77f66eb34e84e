package gate

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// TestOperatorRequestsAreReferredToKeeper sends every operator request to a gate. The gate must
// refuse it with the address of a keeper.
func TestOperatorRequestsAreReferredToKeeper(t *testing.T) {
	s := rpc.NewServer()
	defer s.Close()
	refuseOperators(s, func() string { return "127.0.0.1:7700" })
	near, far := net.Pipe()
	s.ServeConn(far)
	client := rpc.NewClient("gate", func(context.Context, string) (net.Conn, error) { return near, nil })
	defer client.Close()
	for _, m := range control.OperatorMethods() {
		err := client.Call(t.Context(), string(m), map[string]int{"timeout_ms": 5}, nil)
		var coded *jsonrpc2.Error
		if !errors.As(err, &coded) || coded.Code != control.CodeNotLeader || coded.Data == nil {
			t.Errorf("%s: %v", m, err)
			continue
		}
		var n control.NotLeader
		if err := json.Unmarshal(*coded.Data, &n); err != nil || n.Leader != "127.0.0.1:7700" {
			t.Errorf("%s names %q, %v", m, n.Leader, err)
		}
	}
}
