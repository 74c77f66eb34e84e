package proxy

import "github.com/sesamemux/sesamemux/pkg/outcome"

// result is how one attempt ended.
type result struct {
	whole   bool
	outcome outcome.Outcome
	err     error
	free    bool     // the choice was void before anything was sent: choose again
	final   *refusal // the answer to the caller, without another attempt
}
