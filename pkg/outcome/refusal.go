package outcome

import (
	"encoding/json"
	"fmt"
	"time"
)

// Refusal is the body of every answer with which the system itself refuses or abandons a request.
// It implements error, so that callers can return it.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Message    string
	RetryAfter time.Duration // 0 means no advice
}

// wireRefusal is the JSON form of a Refusal.
type wireRefusal struct {
	Outcome      Outcome `json:"outcome"`
	Reason       Reason  `json:"reason"`
	Message      string  `json:"message"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
}

// MarshalJSON implements json.Marshaler. RetryAfter is rounded up to whole
// milliseconds.
func (r Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireRefusal{
		Outcome:      r.Outcome,
		Reason:       r.Reason,
		Message:      r.Message,
		RetryAfterMS: divideRoundingUp(r.RetryAfter, time.Millisecond),
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Refusal) UnmarshalJSON(b []byte) error {
	var w wireRefusal
	if err := json.Unmarshal(b, &w); err != nil {
		return err
	}
	*r = Refusal{
		Outcome:    w.Outcome,
		Reason:     w.Reason,
		Message:    w.Message,
		RetryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond,
	}
	return nil
}

// divideRoundingUp returns the number of units in d, rounded up.
func divideRoundingUp(d, unit time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + unit - 1) / unit)
}
