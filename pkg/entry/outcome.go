package entry

// outcome is how a client's request ended.
type outcome string

const (
	served     outcome = "served"
	failedBy   outcome = "failed by the upstream" // its own answer, passed on
	refused    outcome = "refused"                // did not run and will not
	unknown    outcome = "unknown"                // may have run
	cutShort   outcome = "cut short"              // ended after the answer began
	clientLeft outcome = "client left"
	rejected   outcome = "rejected" // not allowed as it is
)
