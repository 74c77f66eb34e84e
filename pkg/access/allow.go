package access

import (
	"fmt"
	"slices"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// allowedRoles lists the roles that may call each method. Methods that are not listed are
// denied to all roles. Gates don't forward operator requests, so they need no right to
// operator methods.
var allowedRoles = map[control.Method][]Role{
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
	control.MethodFleetBase:         {Keeper},
	control.MethodFleetChange:       {Keeper},
	control.MethodFleetRead:         {Keeper},
	control.MethodFleetDocument:     {Gate, Keeper},
	control.MethodFleetJoin:         {Keeper},
	control.MethodFleetLeave:        {Keeper},
	control.MethodFleetRemoved:      {Keeper},
	control.MethodFleetPlace:        {Gate},
	control.MethodFleetPlaced:       {Gate},
	control.MethodFleetRuns:         {Gate},
	control.MethodFleetTrial:        {Gate},
	control.MethodFleetCheckEnd:     {Gate},
	control.MethodFleetReport:       {Keeper},
	control.MethodKeeperReplace:     {Operator},
	control.MethodKeeperStatus:      {Operator},
	control.MethodQuarantineList:    {Operator},
	control.MethodQuarantineRelease: {Operator},
	control.MethodTimeline:          {Operator},
}

// IsAllowed reports whether a role may call a method.
func IsAllowed(r Role, m control.Method) bool { return slices.Contains(allowedRoles[m], r) }

// Authorize returns nil if the holder may call a method, otherwise a JSON-RPC error
// with CodeDenied.
func Authorize(id Identity, m control.Method) error {
	if IsAllowed(id.Role, m) {
		return nil
	}
	return deniedError(fmt.Sprintf("%s is not authorised to call %s", id, m))
}

func deniedError(message string) error {
	return &jsonrpc2.Error{Code: control.CodeDenied, Message: message}
}
