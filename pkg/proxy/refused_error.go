package proxy

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// refusedError is a response of an upstream or peer other than a completion.
type refusedError struct {
	status  int
	refusal outcome.Refusal
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %v", e.status, e.refusal.Error())
}

// final reports whether another attempt would be refused as well.
func (e *refusedError) final() bool {
	switch e.refusal.Reason {
	case outcome.ReasonDeadline, outcome.ReasonQuarantined, outcome.ReasonSuspect, outcome.ReasonInvalid, outcome.ReasonTooLarge:
		return true
	default:
		return false
	}
}

// maxRefusalBytes limits the body of a refusal.
const maxRefusalBytes = 64 << 10

// readRefusal reads a response other than a completion. Unless it carries a valid refusal,
// the outcome is Unknown.
func readRefusal(res *upstream.Response) error {
	e := &refusedError{status: res.Status}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxRefusalBytes))
	if err != nil || json.Unmarshal(body, &e.refusal) != nil || !e.refusal.Outcome.Valid() {
		e.refusal = outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonUpstreamFailed}
	}
	return e
}
