package plaincall

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
)

// Request is one call to a plain service.
type Request struct {
	Address  string // host:port
	Method   string
	Path     string // decoded
	RawPath  string // as encoded by the caller; empty for the default encoding
	RawQuery string
	Header   http.Header
	Body     []byte
}

// httpRequest returns the request as an http.Request. Its body can't be rewound, so
// that no transport is able to resend it.
func (r *Request) httpRequest() *http.Request {
	u := &url.URL{Scheme: "http", Host: r.Address, Path: r.Path, RawPath: r.RawPath, RawQuery: r.RawQuery}
	req := &http.Request{
		Method:        r.Method,
		URL:           u,
		Host:          r.Address,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        EndToEndHeader(r.Header),
		ContentLength: int64(len(r.Body)),
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return req
}
