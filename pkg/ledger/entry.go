package ledger

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Entry is one request of a caller and what came back.
type Entry struct {
	Request      string // the caller's own ID, unlike any other
	Organisation string
	Service      string
	Key          string // of a once-only call; "" for any other
	Content      string // what was asked for
	Gate         string
	Sent         time.Time
	Returned     time.Time // zero: no reply came
	Status       int
	Outcome      outcome.Outcome // "" if no reply came
	Reason       outcome.Reason  // of a refusal
	Body         string          // of an answer that is no refusal
	Replayed     bool
}

// Answered tells whether a reply came.
func (e Entry) Answered() bool { return !e.Returned.IsZero() }

// Done tells whether the caller was told that its action is done.
func (e Entry) Done() bool {
	return e.Outcome == outcome.Ran && e.Status >= 200 && e.Status < 300
}
