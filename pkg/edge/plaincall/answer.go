package plaincall

import (
	"net/http"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Response is the whole answer to a once-only call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Size   int64 // bytes of the body; above len(Body) if it was over the limit
}

// Complete tells whether the body was kept in whole.
func (a *Response) Complete() bool { return a.Size == int64(len(a.Body)) }

// StatusOutcome tells what a status says of a request. A service that fails or
// sends the request elsewhere, or something in front of it that is busy, is no
// proof that nothing ran.
func StatusOutcome(status int) outcome.Outcome {
	switch {
	case status >= http.StatusInternalServerError,
		status == http.StatusTemporaryRedirect,
		status == http.StatusPermanentRedirect,
		status == http.StatusRequestTimeout,
		status == http.StatusTooEarly,
		status == http.StatusTooManyRequests,
		status == http.StatusMisdirectedRequest:
		return outcome.Unknown
	}
	return outcome.Ran
}
