package entry

// outcome is how a client request ended. The values are metric labels.
type outcome string

const (
	served         outcome = "served"
	upstreamFailed outcome = "failed by the upstream" // an error answer of the upstream was forwarded
	refused        outcome = "refused"                // did not and will not run
	outcomeUnknown outcome = "unknown"                // may have run
	cutShort       outcome = "cut short"              // ended after the answer began
	clientLeft     outcome = "client left"
	rejected       outcome = "rejected" // invalid or not allowed
)
