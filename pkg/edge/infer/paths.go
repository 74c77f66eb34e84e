package infer

// HTTP paths of the inference API.
const (
	Path       = "/v1/chat/completions"
	CancelPath = "/v1/cancel"
)

// DoneMarker is the data of the last event of a complete stream.
const DoneMarker = "[DONE]"

// FingerprintPrefix is the part of a completion's system_fingerprint before the
// model version.
const FingerprintPrefix = "version-"
