package ctl

// ExitCode is an exit code of sesamectl.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitRefused     ExitCode = 1 // problems in objects, settings or the request; nothing was changed
	ExitUsage       ExitCode = 2 // the command line is invalid
	ExitConflict    ExitCode = 3 // another change was accepted first; nothing was changed
	ExitUnavailable ExitCode = 4 // no leader or quorum could be reached; nothing was changed
	ExitUnknown     ExitCode = 5 // the change may or may not have taken effect; resend it by --change-id
	ExitTimedOut    ExitCode = 6 // accepted, but not in force everywhere in time
	ExitDenied      ExitCode = 7 // not authorised; nothing was changed
)

// exitNames are the names of exit codes in JSON.
var exitNames = map[ExitCode]string{
	ExitOK:          "ok",
	ExitRefused:     "refused",
	ExitUsage:       "usage",
	ExitConflict:    "conflict",
	ExitUnavailable: "unavailable",
	ExitUnknown:     "unknown-outcome",
	ExitTimedOut:    "timed-out",
	ExitDenied:      "denied",
}

// String returns the name of the code.
func (c ExitCode) String() string { return exitNames[c] }

const exitHelp = `Exit codes: 0 ok; 1 refused, nothing was changed; 2 usage; 3 conflict, another
change was accepted first; 4 unavailable, nothing was changed; 5 unknown outcome, resend
by --change-id; 6 accepted but not in force in time; 7 denied.`
