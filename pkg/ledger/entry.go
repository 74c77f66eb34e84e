package ledger

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Entry is one request of a caller and its reply.
type Entry struct {
	Request      string // unique ID that the caller chose
	Organisation string
	Service      string
	Key          string // of a once-only call; "" for other requests
	Content      string // content of the request
	Gate         string
	Sent         time.Time
	Returned     time.Time // zero if no reply was received
	Status       int
	Outcome      outcome.Outcome // "" if no reply was received
	Reason       outcome.Reason  // of a refusal
	Body         string          // of a reply that is not a refusal
	Replayed     bool
}

// Answered reports whether a reply was received.
func (e Entry) Answered() bool { return !e.Returned.IsZero() }

// Done reports whether the reply says that the action was done.
func (e Entry) Done() bool {
	return e.Outcome == outcome.Ran && e.Status >= 200 && e.Status < 300
}
