package serviceproxy

import (
	"io"
	"net/http"
	"strconv"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// relayBufferSize is the buffer size for relaying answers.
const relayBufferSize = 32 << 10

// relayStream relays an answer as it arrives. If the answer is truncated, it aborts the
// caller's connection, so that the caller can't take it for complete.
func relayStream(w http.ResponseWriter, resp *http.Response, o outcome.Outcome) {
	copyHeader(w.Header(), plaincall.EndToEndHeader(resp.Header))
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.Header().Set(outcome.Header, string(o))
	w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(w)
	buf := make([]byte, relayBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return
			}
			_ = control.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// relayBuffered relays an answer that was read completely.
func relayBuffered(w http.ResponseWriter, status int, h http.Header, body []byte, o outcome.Outcome) error {
	copyHeader(w.Header(), h)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(outcome.Header, string(o))
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
