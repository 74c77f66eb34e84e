package admission

import (
	"fmt"
	"time"
)

// RejectError refuses a request that was not started.
type RejectError struct {
	Reason     Reason
	RetryAfter time.Duration // when there may be room; at least MinRetryAfter
}

// MinRetryAfter is the least time after which a caller is asked to come back.
const MinRetryAfter = 100 * time.Millisecond

func (e *RejectError) Error() string {
	return fmt.Sprintf("not admitted: %s, come back in %s", e.Reason, e.RetryAfter)
}

func reject(r Reason, after time.Duration) *RejectError {
	return &RejectError{Reason: r, RetryAfter: max(after, MinRetryAfter)}
}
