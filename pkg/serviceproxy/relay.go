package serviceproxy

import (
	"io"
	"net/http"
	"strconv"

	"github.com/sesamemux/sesamemux/pkg/edge/plaincall"
	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// relayBuffer is the size of the pieces in which an answer is passed on.
const relayBuffer = 32 << 10

// relayStream passes an answer on as it comes. A broken one breaks the
// caller's connection, so that it never looks whole.
func relayStream(w http.ResponseWriter, resp *http.Response, o outcome.Outcome) {
	copyHeader(w.Header(), plaincall.EndToEndHeader(resp.Header))
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.Header().Set(outcome.Header, string(o))
	w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(w)
	buf := make([]byte, relayBuffer)
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

// relayWhole passes on an answer that is held in whole.
func relayWhole(w http.ResponseWriter, status int, h http.Header, body []byte, o outcome.Outcome) error {
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
