package infer

// Paths of the HTTP interface.
const (
	Path       = "/v1/chat/completions"
	CancelPath = "/v1/cancel"
)

// DoneMarker is the data of the last event of a whole stream.
const DoneMarker = "[DONE]"

// FingerprintPrefix starts the system_fingerprint of an answer; the version
// follows.
const FingerprintPrefix = "version-"
