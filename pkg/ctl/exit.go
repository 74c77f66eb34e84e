package ctl

// ExitCode is what sesamectl ends with.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitRefused     ExitCode = 1 // problems in objects, settings or the request; nothing was changed
	ExitUsage       ExitCode = 2 // the command line is in error
	ExitConflict    ExitCode = 3 // another change came first; nothing was changed
	ExitUnavailable ExitCode = 4 // no leader or quorum could be reached; nothing was changed
	ExitUnknown     ExitCode = 5 // the change may or may not have taken effect; resend it by --change-id
	ExitTimedOut    ExitCode = 6 // accepted, but not in force everywhere in time
	ExitDenied      ExitCode = 7 // no right to it; nothing was changed
)

// exitNames are the words for exit codes in JSON.
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

// String gives the word for the code.
func (c ExitCode) String() string { return exitNames[c] }

const exitHelp = `Exit codes: 0 ok; 1 refused, nothing was changed; 2 usage; 3 conflict, another
change came first; 4 unavailable, nothing was changed; 5 unknown outcome, resend
by --change-id; 6 accepted but not in force in time; 7 denied.`
