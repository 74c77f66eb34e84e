package once

import (
	"bytes"
	"net/http"
)

// recordedReply records a gate's reply in memory.
type recordedReply struct {
	header http.Header
	status int
	body   bytes.Buffer
	broken bool
}

func newReply() *recordedReply { return &recordedReply{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (r *recordedReply) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recordedReply) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *recordedReply) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(b)
}

// Flush implements http.Flusher.
func (r *recordedReply) Flush() {}

// serve handles a request and records whether the reply was aborted.
func (r *recordedReply) serve(h http.Handler, req *http.Request) {
	defer func() {
		if x := recover(); x != nil {
			if x != http.ErrAbortHandler {
				panic(x)
			}
			r.broken = true
		}
	}()
	h.ServeHTTP(r, req)
}

// copyTo writes the reply to w.
func (r *recordedReply) copyTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}
