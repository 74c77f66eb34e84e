package serviceproxy

import "github.com/sesamemux/sesamemux/pkg/edge/ask"

// HTTP headers of requests and responses.
const (
	HeaderOrganisation = ask.HeaderOrganisation
	HeaderRequestID    = ask.HeaderAttempt // call ID, for logs and the time line; the service receives the attempt ID instead
	HeaderReplayed     = "Sesame-Replayed" // "true" on an answer replayed from the record
	HeaderRecord       = "Sesame-Record"   // "pending" if the outcome is not recorded yet
)
