package gate

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/rpc"
)

// refuseOperators answers operators' requests with the address of a keeper. A
// gate passes none on: the right to a change is the operator's own, and a lost
// reply stays between two processes.
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
