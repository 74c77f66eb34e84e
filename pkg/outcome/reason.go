package outcome

// Reason is the machine-readable cause of a refusal. Packages may define their own in the same
// form: lower-case words joined by '-'.
type Reason string

// Reasons that several packages share.
const (
	ReasonNoLease         Reason = "no-lease"         // this gate currently may not take new work
	ReasonShuttingDown    Reason = "shutting-down"    // this gate is shutting down
	ReasonUnauthorised    Reason = "unauthorised"     // no organisation matches the credentials
	ReasonInvalid         Reason = "invalid-request"  // the request can't be served in its present form
	ReasonTooLarge        Reason = "too-large"        // the body exceeds its limit
	ReasonNotFound        Reason = "not-found"        // no such model or service
	ReasonNoUpstream      Reason = "no-upstream"      // no upstream serves it now
	ReasonOverloaded      Reason = "overloaded"       // no permit or place in the queue became free in time
	ReasonDeadline        Reason = "deadline"         // the request can't be, or was not, finished before its deadline
	ReasonQuarantined     Reason = "quarantined"      // the request has crashed upstreams
	ReasonSuspect         Reason = "suspect"          // the request is on trial, here or at another gate
	ReasonUpstreamFailed  Reason = "upstream-failed"  // the upstream failed before its answer was complete
	ReasonUpstreamTimeout Reason = "upstream-timeout" // the upstream did not answer in time
	ReasonCallerGone      Reason = "caller-gone"      // the caller closed its connection
	ReasonNoQuorum        Reason = "no-quorum"        // no quorum of the replicated log can be reached
	ReasonInProgress      Reason = "in-progress"      // another attempt with the key is in progress
	ReasonNotRepeated     Reason = "not-repeated"     // the outcome is unknown, so the request is not run again
	ReasonKeyMissing      Reason = "key-missing"      // the once-only call has no key
	ReasonKeyReused       Reason = "key-reused"       // the key was used for a different request
	ReasonKeyExpired      Reason = "key-expired"      // the key is older than the retained records
	ReasonKeyAhead        Reason = "key-ahead"        // the key's time is in the future
	ReasonRecordsFull     Reason = "records-full"     // no space for another record
	ReasonAnswerNotKept   Reason = "answer-not-kept"  // the request ran, but its answer was too large to record
	ReasonInternal        Reason = "internal"         // an internal error of the gate
)
