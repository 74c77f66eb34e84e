package proxy

import (
	"net/http"
	"time"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// refusal is a final answer that is no completion, with its HTTP status.
type refusal struct {
	status int
	outcome.Refusal
}

func refuse(status int, reason outcome.Reason, message string) *refusal {
	return &refusal{status: status, Refusal: outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Message: message}}
}

func (r *refusal) after(d time.Duration) *refusal {
	r.RetryAfter = d
	return r
}

// leaseRetry is when another gate or this one may serve again.
const leaseRetry = time.Second

func refuseNoLease() *refusal {
	return refuse(http.StatusServiceUnavailable, outcome.ReasonNoLease, "this gate may take no new work now").after(leaseRetry)
}

func refuseShutdown() *refusal {
	return refuse(http.StatusServiceUnavailable, outcome.ReasonShuttingDown, "this gate is about to stop").after(leaseRetry)
}

func refuseDeadline() *refusal {
	return refuse(http.StatusGatewayTimeout, outcome.ReasonDeadline, "it can't be finished before its deadline").after(leaseRetry)
}

func refuseOverloaded(after time.Duration) *refusal {
	return refuse(http.StatusTooManyRequests, outcome.ReasonOverloaded, "too many requests wait").after(after)
}

func refuseNoUpstream() *refusal {
	return refuse(http.StatusServiceUnavailable, outcome.ReasonNoUpstream, "nothing can serve it in time").after(leaseRetry)
}

// statusCallerGone is nginx's status for a caller that closed the connection;
// nobody reads it but the metrics.
const statusCallerGone = 499

func refuseCallerGone() *refusal {
	return refuse(statusCallerGone, outcome.ReasonCallerGone, "caller left")
}
