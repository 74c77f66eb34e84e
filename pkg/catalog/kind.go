package catalog

// Kind defines whether the requests of a route may be retried.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once for each attempt of the client.
	AtMostOnce Kind = "at-most-once"
	// Stream requests are answered by an event stream with increasing event IDs.
	Stream Kind = "stream"
)
