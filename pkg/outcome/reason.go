package outcome

// Reason is the machine-readable cause of a refusal. Packages may add their
// own in the same form: lower case words joined by '-'.
type Reason string

// Reasons that several packages share.
const (
	ReasonNoLease         Reason = "no-lease"         // this gate may take no new work now
	ReasonShuttingDown    Reason = "shutting-down"    // this gate is about to stop
	ReasonUnauthorised    Reason = "unauthorised"     // no organisation matches the credentials
	ReasonInvalid         Reason = "invalid-request"  // the request can't be served as it is
	ReasonTooLarge        Reason = "too-large"        // the body is over its limit
	ReasonNotFound        Reason = "not-found"        // no such model or service
	ReasonNoUpstream      Reason = "no-upstream"      // nothing serves it now
	ReasonOverloaded      Reason = "overloaded"       // no permit or queue place in time
	ReasonDeadline        Reason = "deadline"         // it can't be or was not finished in time
	ReasonQuarantined     Reason = "quarantined"      // the request crashed upstreams
	ReasonSuspect         Reason = "suspect"          // the request is under trial elsewhere
	ReasonUpstreamFailed  Reason = "upstream-failed"  // the upstream broke off
	ReasonUpstreamTimeout Reason = "upstream-timeout" // the upstream gave no answer in time
	ReasonCallerGone      Reason = "caller-gone"      // the caller closed its connection
	ReasonNoQuorum        Reason = "no-quorum"        // the replicated log can't be reached
	ReasonInProgress      Reason = "in-progress"      // another attempt of the key runs
	ReasonNotRepeated     Reason = "not-repeated"     // outcome unknown, so it isn't run again
	ReasonKeyMissing      Reason = "key-missing"      // a once-only call without its key
	ReasonKeyReused       Reason = "key-reused"       // the key was used for another request
	ReasonKeyExpired      Reason = "key-expired"      // the key is older than the records kept
	ReasonKeyAhead        Reason = "key-ahead"        // the key's time lies in the future
	ReasonRecordsFull     Reason = "records-full"     // no room for another record
	ReasonAnswerNotKept   Reason = "answer-not-kept"  // it ran; its answer was too large to record
	ReasonInternal        Reason = "internal"         // a fault of the gate itself
)
