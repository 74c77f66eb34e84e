package upstream

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/sesamemux/sesamemux/pkg/view"
)

// Request is one message to an upstream.
type Request struct {
	Address     string
	Incarnation view.Incarnation // 0: any
	Host        string           // of the Host header; Address when empty
	Method      string
	Path        string
	Header      http.Header
	Body        []byte
	// BeforeSend may refuse the request right before its first byte.
	BeforeSend func() error
	// NewConnection asks for a new connection.
	NewConnection bool
}

// head writes the request line and headers.
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
