package admission

import (
	"fmt"
	"time"
)

// RejectError reports that a request was refused and not started.
type RejectError struct {
	Reason     Reason
	RetryAfter time.Duration // when there may be a free place; at least MinRetryAfter
}

// MinRetryAfter is the shortest retry delay given to a caller.
const MinRetryAfter = 100 * time.Millisecond

func (e *RejectError) Error() string {
	return fmt.Sprintf("request not admitted: %s; retry after %s", e.Reason, e.RetryAfter)
}

func reject(r Reason, after time.Duration) *RejectError {
	return &RejectError{Reason: r, RetryAfter: max(after, MinRetryAfter)}
}
