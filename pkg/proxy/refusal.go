package proxy

import (
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// refusal is a final response other than a completion, with its HTTP status.
type refusal struct {
	status int
	outcome.Refusal
}

func refuse(status int, reason outcome.Reason, message string) *refusal {
	return &refusal{status: status, Refusal: outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Message: message}}
}

func (r *refusal) withRetryAfter(d time.Duration) *refusal {
	r.RetryAfter = d
	return r
}

// defaultRetryAfter is the time after which this gate or another is likely to serve the
// request.
const defaultRetryAfter = time.Second

func refuseNoLease() *refusal {
	return refuse(http.StatusServiceUnavailable, outcome.ReasonNoLease, "this gate has no valid lease and accepts no new work").withRetryAfter(defaultRetryAfter)
}

func refuseShutdown() *refusal {
	return refuse(http.StatusServiceUnavailable, outcome.ReasonShuttingDown, "this gate is shutting down").withRetryAfter(defaultRetryAfter)
}

func refuseDeadline() *refusal {
	return refuse(http.StatusGatewayTimeout, outcome.ReasonDeadline, "the request can't finish before its deadline").withRetryAfter(defaultRetryAfter)
}

func refuseOverloaded(after time.Duration) *refusal {
	return refuse(http.StatusTooManyRequests, outcome.ReasonOverloaded, "too many requests are queued").withRetryAfter(after)
}

func refuseNoUpstream() *refusal {
	return refuse(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, "no upstream is available for the request").withRetryAfter(defaultRetryAfter)
}

// statusCallerGone is nginx's status for a caller that closed the connection. It is never
// sent, and serves metrics and logs only.
const statusCallerGone = 499

func refuseCallerGone() *refusal {
	return refuse(statusCallerGone, outcome.ReasonCallerGone, "the caller closed the connection")
}
