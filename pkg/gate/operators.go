package gate

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// refuseOperators answers operators' requests with the address of a keeper. A gate does not
// forward them, so that the keeper authorises the operator's own certificate, and a lost
// reply involves only two processes.
func refuseOperators(s *rpc.Server, keeper func() string) {
	for _, m := range control.OperatorMethods() {
		rpc.Handle(s, string(m), func(context.Context, json.RawMessage) (struct{}, error) {
			return struct{}{}, notLeader(keeper())
		})
	}
}

func notLeader(keeper string) error {
	e := &jsonrpc2.Error{Code: control.CodeNotLeader, Message: "this is a gate; ask a keeper"}
	e.SetError(control.NotLeader{Leader: keeper})
	return e
}
