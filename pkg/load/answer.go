package load

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// answer is what came back for one send.
type answer struct {
	status      int // 0: no reply came
	outcome     outcome.Outcome
	reason      outcome.Reason
	retryAfter  time.Duration
	text        string
	fingerprint string // of the version
	whole       bool
	replayed    bool
	tokens      int
	first       time.Time // of the first token
	gaps        []time.Duration
	ended       time.Time
}

// done tells whether the caller has its whole answer.
func (a *answer) done() bool {
	return a.whole && a.status >= 200 && a.status < 300
}

// refuse fills the answer from a refusal.
func (a *answer) refuse(r outcome.Refusal) {
	a.outcome = r.Outcome
	a.reason = r.Reason
	a.retryAfter = r.RetryAfter
	a.whole = false
}
