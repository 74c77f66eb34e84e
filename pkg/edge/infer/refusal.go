package infer

// Outcome says what is known of a request that was not answered in full.
type Outcome string

// The outcomes.
const (
	OutcomeNotRun  Outcome = "not-run" // no engine began it
	OutcomeRan     Outcome = "ran"     // an engine worked on it; the answer is not whole
	OutcomeUnknown Outcome = "unknown"
)

// Refusal is the body of every answer that is not a completion, and the data
// of the last event of a stream that can't go on.
type Refusal struct {
	Error RefusalError `json:"error"`
}

// RefusalError says why, what is known, and when to come back.
type RefusalError struct {
	Code         string  `json:"code"` // such as "no-lease"
	Message      string  `json:"message"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"` // 0: coming back doesn't help
	RequestID    string  `json:"request_id,omitempty"`
	Gate         string  `json:"gate,omitempty"`
}
