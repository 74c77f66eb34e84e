package ctl

import (
	"fmt"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/sesamemux/sesamemux/pkg/control"
)

// failureFromRPC converts a final error of a server into a Failure.
func failureFromRPC(e *jsonrpc2.Error) *Failure {
	switch e.Code {
	case control.CodeConflict:
		return conflictFailure(e)
	case control.CodeInvalid:
		return invalidFailure(e)
	case control.CodeNotFound:
		return &Failure{Code: ExitRefused, Message: e.Message, Hint: programName + " status and history show what exists"}
	case control.CodeDenied:
		return &Failure{Code: ExitDenied, Message: e.Message, Hint: "nothing was changed; use a certificate with the role operator (tls_cert)"}
	}
	return &Failure{Code: ExitRefused, Message: e.Message}
}

// unsupportedMethodFailure returns the failure of a request whose method no server knows.
func unsupportedMethodFailure(r request) *Failure {
	return &Failure{
		Code:    ExitRefused,
		Message: fmt.Sprintf("no server supports the method %s", r.method),
		Hint:    "name a keeper (--servers), or use servers of the same version as " + programName,
	}
}

// invalidFailure returns the failure of an invalid set of objects or an invalid request.
func invalidFailure(e *jsonrpc2.Error) *Failure {
	f := &Failure{Code: ExitRefused, Message: e.Message}
	if decodeData(e, &f.Problems) && len(f.Problems) > 0 {
		f.Hint = "nothing was changed; fix the problems and apply again"
		return f
	}
	f.Hint = "nothing was changed; omit --change-id to send it as a new change"
	return f
}

func conflictFailure(e *jsonrpc2.Error) *Failure {
	var d control.Conflict
	f := &Failure{Code: ExitConflict, Message: e.Message, Hint: "nothing was changed; check " + programName + " status and try again"}
	if decodeData(e, &d) {
		f.Message = fmt.Sprintf("the change started from object revision %d, but revision %d is in force", d.Base, d.Current)
		f.Hint = fmt.Sprintf("nothing was changed; see %s diff FILE, merge, and apply with --base %d", programName, d.Current)
	}
	return f
}

func unknownOutcomeFailure(r request) *Failure {
	f := &Failure{Code: ExitUnknown, ChangeID: r.changeID, Message: "the reply was lost; the change may or may not have taken effect"}
	f.Hint = "run the same command again; it continues where the first one stopped"
	if r.changeID != "" {
		f.Hint = fmt.Sprintf("run the same command again with --change-id %s; the change takes effect at most once", r.changeID)
	}
	return f
}
