package upstream

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Request is one HTTP request to an upstream.
type Request struct {
	Address     string
	Incarnation view.Incarnation // expected incarnation; 0: any
	Host        string           // value of the Host header; Address if empty
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	// BeforeSend may refuse the request immediately before its first byte; nil: none.
	BeforeSend func() error
	// NewConnection prevents the reuse of an idle connection.
	NewConnection bool
	// Question is sent before the request, which follows only if the upstream answers it; nil: none.
	Question *http.Request
}

// head appends the request line and the header to b.
func (r *Request) head(b *bytes.Buffer) {
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	if r.Host != "" {
		b.WriteString(r.Host)
	} else {
		b.WriteString(r.Address)
	}
	b.WriteString("\r\nContent-Length: ")
	b.WriteString(strconv.Itoa(len(r.Body)))
	b.WriteString("\r\n")
	_ = r.Header.Write(b)
	b.WriteString("\r\n")
}
