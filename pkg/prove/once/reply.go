package once

import (
	"bytes"
	"net/http"
)

// reply is what a gate answers to a caller in memory.
type reply struct {
	header http.Header
	status int
	body   bytes.Buffer
	broken bool
}

func newReply() *reply { return &reply{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (r *reply) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *reply) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *reply) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(b)
}

// Flush implements http.Flusher.
func (r *reply) Flush() {}

// serve answers a request and notes an aborted answer.
func (r *reply) serve(h http.Handler, req *http.Request) {
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

// copyTo passes the answer on.
func (r *reply) copyTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body.Bytes())
}
