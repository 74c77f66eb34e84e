package load

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// answer is the result of sending a request once.
type answer struct {
	status      int // 0 if no reply was received
	outcome     outcome.Outcome
	reason      outcome.Reason
	retryAfter  time.Duration
	text        string
	fingerprint string // identifies the model version that answered
	complete    bool
	replayed    bool
	tokens      int
	firstToken  time.Time // arrival time of the first token
	gaps        []time.Duration
	ended       time.Time
}

// done reports whether the caller received a complete, successful answer.
func (a *answer) done() bool {
	return a.complete && a.status >= 200 && a.status < 300
}

// setRefusal copies a refusal into the answer.
func (a *answer) setRefusal(r outcome.Refusal) {
	a.outcome = r.Outcome
	a.reason = r.Reason
	a.retryAfter = r.RetryAfter
	a.complete = false
}
