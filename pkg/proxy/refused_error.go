package proxy

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/sesamemux/sesamemux/pkg/outcome"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

// refusedError is an answer of an upstream or peer that is no completion.
type refusedError struct {
	status  int
	refusal outcome.Refusal
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("answered %d: %v", e.status, e.refusal.Error())
}

// final tells whether another attempt could not do better.
func (e *refusedError) final() bool {
	switch e.refusal.Reason {
	case outcome.ReasonDeadline, outcome.ReasonQuarantined, outcome.ReasonSuspect, outcome.ReasonInvalid, outcome.ReasonTooLarge:
		return true
	default:
		return false
	}
}

// maxRefusal bounds the body of a refusal.
const maxRefusal = 64 << 10

// readRefusal reads an answer that is no completion. Only one that says so in
// our format is known not to have run.
func readRefusal(res *upstream.Response) error {
	e := &refusedError{status: res.Status}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	if err != nil || json.Unmarshal(body, &e.refusal) != nil || !e.refusal.Outcome.Valid() {
		e.refusal = outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ReasonUpstreamFailed}
	}
	return e
}
