package proxy

import "github.com/sesamemux/sesamemux/pkg/outcome"

// result describes how one attempt ended.
type result struct {
	complete   bool
	outcome    outcome.Outcome
	err        error
	notCharged bool     // refused before it ran; retry without counting against the retry budget
	final      *refusal // refusal to send to the caller without another attempt
}
