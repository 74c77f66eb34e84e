package quarantine

// Crash identifies the end of an upstream's process. An incarnation ends once.
type Crash struct {
	Upstream  string `json:"u"`
	StartedMS int64  `json:"b"` // start of the incarnation, as it announced it
}
