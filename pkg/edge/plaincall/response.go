package plaincall

import (
	"net/http"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// Response is the buffered response to a once-only call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Size   int64 // bytes of the body; greater than len(Body) if the body exceeded the limit
}

// Complete reports whether Body holds the complete body.
func (r *Response) Complete() bool { return r.Size == int64(len(r.Body)) }

// StatusOutcome returns the outcome that an HTTP status implies. Server errors,
// redirects and statuses that an overloaded intermediary may send are Unknown, since
// none of them proves that the service did not run the request.
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
