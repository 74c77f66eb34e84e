package serviceproxy

import "github.com/sesamemux/sesamemux/pkg/edge/ask"

// Headers of requests and answers.
const (
	HeaderOrganisation = ask.HeaderOrganisation
	HeaderRequestID    = ask.HeaderAttempt // ID of the call, for logs and the time line; the service gets the attempt's
	HeaderReplayed     = "Sesame-Replayed" // "true" on an answer from the record
	HeaderRecord       = "Sesame-Record"   // "pending" while the outcome isn't recorded yet
)
