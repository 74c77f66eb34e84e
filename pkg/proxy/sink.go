package proxy

import "github.com/sesamemux/sesamemux/pkg/outcome"

// sink writes an answer to the caller.
type sink interface {
	// forward writes the data of the next event, which starts at a token offset. more
	// reports that another event follows at once, so that the flush may be delayed.
	forward(data []byte, offset int, more bool) error
	// done ends a complete answer.
	done(offset int) error
	// fail sends a refusal, or an error event if the answer has begun.
	fail(status int, r outcome.Refusal) error
}
