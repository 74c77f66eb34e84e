package access

import (
	"fmt"
	"slices"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// callers lists the roles that may call each method. What is not listed may
// be called by none. A gate passes no operator's request on, so that it needs no
// right to make one.
var callers = map[control.Method][]Role{
	control.MethodRaft:              {Keeper},
	control.MethodGateSync:          {Gate, Keeper},
	control.MethodOnceIntent:        {Gate, Keeper},
	control.MethodOnceOutcome:       {Gate, Keeper},
	control.MethodCrashReport:       {Gate, Keeper},
	control.MethodRanWell:           {Gate, Keeper},
	control.MethodApply:             {Operator},
	control.MethodCheck:             {Operator},
	control.MethodGet:               {Operator},
	control.MethodHistory:           {Operator},
	control.MethodRollback:          {Operator},
	control.MethodDrain:             {Operator},
	control.MethodRestore:           {Operator},
	control.MethodStatus:            {Operator},
	control.MethodWait:              {Operator},
	control.MethodFleetSync:         {Gate, Keeper},
	control.MethodFleetAnnounce:     {Keeper},
	control.MethodFleetDepart:       {Keeper},
	control.MethodFleetSuspect:      {Gate},
	control.MethodFleetChange:       {Keeper},
	control.MethodFleetRead:         {Keeper},
	control.MethodFleetDocument:     {Gate, Keeper},
	control.MethodFleetJoin:         {Keeper},
	control.MethodFleetPlace:        {Gate},
	control.MethodFleetPlaced:       {Gate},
	control.MethodKeeperReplace:     {Operator},
	control.MethodKeeperStatus:      {Operator},
	control.MethodQuarantineList:    {Operator},
	control.MethodQuarantineRelease: {Operator},
	control.MethodTimeline:          {Operator},
}

// IsAllowed tells whether a role may call a method.
func IsAllowed(r Role, m control.Method) bool { return slices.Contains(callers[m], r) }

// Authorize returns the JSON-RPC error for a call without the right to it, nil
// for one with it.
func Authorize(id Identity, m control.Method) error {
	if IsAllowed(id.Role, m) {
		return nil
	}
	return denied(fmt.Sprintf("%s has no right to call %s", id, m))
}

func denied(message string) error {
	return &jsonrpc2.Error{Code: control.CodeDenied, Message: message}
}
