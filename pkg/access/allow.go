package access

import (
	"fmt"
	"slices"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// callers lists the roles that may call each method. What is not listed may
// be called by none.
var callers = map[control.Method][]Role{
	control.MethodRaft:              {Keeper},
	control.MethodGateSync:          {Gate, Keeper},
	control.MethodOnceIntent:        {Gate, Keeper},
	control.MethodOnceOutcome:       {Gate, Keeper},
	control.MethodCrashReport:       {Gate, Keeper},
	control.MethodRanWell:           {Gate, Keeper},
	control.MethodApply:             {Operator, Gate, Keeper},
	control.MethodCheck:             {Operator, Gate, Keeper},
	control.MethodGet:               {Operator, Gate, Keeper},
	control.MethodHistory:           {Operator, Gate, Keeper},
	control.MethodRollback:          {Operator, Gate, Keeper},
	control.MethodDrain:             {Operator, Gate, Keeper},
	control.MethodRestore:           {Operator, Gate, Keeper},
	control.MethodStatus:            {Operator, Gate, Keeper},
	control.MethodWait:              {Operator, Gate, Keeper},
	control.MethodKeeperReplace:     {Operator},
	control.MethodKeeperStatus:      {Operator, Gate, Keeper},
	control.MethodQuarantineList:    {Operator, Gate, Keeper},
	control.MethodQuarantineRelease: {Operator},
	control.MethodTimeline:          {Operator, Gate, Keeper},
}

// Allow tells whether a role may call a method.
func Allow(r Role, m control.Method) bool { return slices.Contains(callers[m], r) }

// Authorize returns the JSON-RPC error for a call without the right to it, nil
// for one with it.
func Authorize(id Identity, m control.Method) error {
	if Allow(id.Role, m) {
		return nil
	}
	return denied(fmt.Sprintf("%s has no right to call %s", id, m))
}

func denied(message string) error {
	return &jsonrpc2.Error{Code: control.CodeDenied, Message: message}
}
