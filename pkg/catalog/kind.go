package catalog

// Kind says what may be repeated on a route.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once for each attempt of the client.
	AtMostOnce Kind = "at-most-once"
	// Stream requests are answered by a stream of events with increasing IDs.
	Stream Kind = "stream"
)
