package plaincall

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// maxHeldBytes is what a gate may hold of one response besides its body.
const maxHeldBytes = 512 << 10

// endlessConn is a connection whose other end sends a response without end.
type endlessConn struct {
	net.Conn
	response io.Reader
	read     *atomic.Int64
}

func (c endlessConn) Read(b []byte) (int, error) {
	n, err := c.response.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func TestEndlessHeaderIsNotHeldInMemory(t *testing.T) {
	for name, c := range map[string]struct{ head, text string }{
		"no line":           {"", "x"},
		"status line":       {"HTTP/1.1 200 ", "x"},
		"header line":       {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var read atomic.Int64
			transport := New(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() { _, _ = io.Copy(io.Discard, far) }()
				t.Cleanup(func() { _ = far.Close() })
				text := strings.Repeat(c.text, 4*maxHeldBytes/len(c.text))
				return endlessConn{near, io.MultiReader(strings.NewReader(c.head), strings.NewReader(text)), &read}, nil
			})
			defer transport.Close()
			request := &Request{Address: "10.0.0.1:80", Method: http.MethodGet, Path: "/x", Header: http.Header{}}
			if _, err := transport.DoOnce(t.Context(), request, func() error { return nil }, 1000); err == nil {
				t.Error("answered as a success")
			}
			if n := read.Load(); n > maxHeldBytes {
				t.Errorf("a call that runs once read %d bytes", n)
			}
			read.Store(0)
			if resp, err := transport.Do(t.Context(), request, func() error { return nil }); err == nil {
				_ = resp.Body.Close()
				t.Error("answered as a success")
			}
			if n := read.Load(); n > maxHeldBytes {
				t.Errorf("a call that may be repeated read %d bytes", n)
			}
		})
	}
}
