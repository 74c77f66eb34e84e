package proxy

import "github.com/sesamemux/sesamemux/pkg/outcome"

// sink takes an answer to the caller.
type sink interface {
	// forward takes the data of the next event, at a token offset. More tells
	// that another event is at hand.
	forward(data []byte, offset int, more bool) error
	// done ends a whole answer.
	done(offset int) error
	// fail ends with a refusal; begun answers end with an explicit error.
	fail(status int, r outcome.Refusal) error
}
