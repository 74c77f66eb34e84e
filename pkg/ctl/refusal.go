package ctl

import (
	"fmt"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// refusal turns an answer that stands into a failure.
func refusal(e *jsonrpc2.Error) *Failure {
	switch e.Code {
	case control.CodeConflict:
		return conflict(e)
	case control.CodeInvalid:
		return invalid(e)
	case control.CodeNotFound:
		return &Failure{Code: ExitRefused, Message: e.Message, Hint: programName + " status and history show what there is"}
	case control.CodeDenied:
		return &Failure{Code: ExitDenied, Message: e.Message, Hint: "nothing was changed; use a certificate with the role operator (tls_cert)"}
	}
	return &Failure{Code: ExitRefused, Message: e.Message}
}

// stranger tells that no server knows a method.
func stranger(r request) *Failure {
	return &Failure{
		Code:    ExitRefused,
		Message: fmt.Sprintf("none of the servers knows the method %s", r.method),
		Hint:    "name a keeper (--servers); or the servers are of another version than " + programName,
	}
}

// invalid tells of problems in a set, or of a request that is wrong itself.
func invalid(e *jsonrpc2.Error) *Failure {
	f := &Failure{Code: ExitRefused, Message: e.Message}
	if decodeData(e, &f.Problems) && len(f.Problems) > 0 {
		f.Hint = "nothing was changed; mend the problems and apply again"
		return f
	}
	f.Hint = "nothing was changed; without --change-id it is sent as a new change"
	return f
}

func conflict(e *jsonrpc2.Error) *Failure {
	var d control.Conflict
	f := &Failure{Code: ExitConflict, Message: e.Message, Hint: "nothing was changed; look at " + programName + " status and try again"}
	if decodeData(e, &d) {
		f.Message = fmt.Sprintf("the change started from object revision %d, in force is %d", d.Base, d.Current)
		f.Hint = fmt.Sprintf("nothing was changed; see %s diff FILE, merge, and apply with --base %d", programName, d.Current)
	}
	return f
}

func unknownOutcome(r request) *Failure {
	f := &Failure{Code: ExitUnknown, ChangeID: r.changeID, Message: "the reply was lost: the change may or may not have taken effect"}
	f.Hint = "run the same command again: it goes on where the first one stopped"
	if r.changeID != "" {
		f.Hint = fmt.Sprintf("run the same command again with --change-id %s: it takes effect at most once", r.changeID)
	}
	return f
}
