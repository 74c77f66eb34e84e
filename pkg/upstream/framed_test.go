package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/memconn"
)

// TestOnlyAnAnswerThatItsConnectionEndsIsUnframed also guards against taking an answer that has no
// body for one whose end is unknown.
func TestOnlyAnAnswerThatItsConnectionEndsIsUnframed(t *testing.T) {
	for name, c := range map[string]struct {
		method, answer string
		framed         bool
	}{
		"length":                    {http.MethodGet, "200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"length, closes":            {http.MethodGet, "200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true},
		"no body":                   {http.MethodGet, "200 OK\r\nContent-Length: 0\r\n\r\n", true},
		"chunks":                    {http.MethodGet, "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"no content":                {http.MethodGet, "204 No Content\r\n\r\n", true},
		"not modified":              {http.MethodGet, "304 Not Modified\r\n\r\n", true},
		"HEAD":                      {http.MethodHead, "200 OK\r\n\r\n", true},
		"HEAD with a length":        {http.MethodHead, "200 OK\r\nContent-Length: 2\r\n\r\n", true},
		"HEAD with chunks":          {http.MethodHead, "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"neither length nor chunks": {http.MethodGet, "200 OK\r\n\r\nok", false},
		"neither, closes":           {http.MethodGet, "200 OK\r\nConnection: close\r\n\r\nok", false},
		"neither, no bytes":         {http.MethodGet, "200 OK\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := memconn.New(time.Millisecond)
				go answerOnce(n.Listen("p", "p:80"), "HTTP/1.1 "+c.answer)
				p := NewPool(Options{Dial: n.Dialer("e"), FirstByteTimeout: time.Second, StallTimeout: time.Second})
				defer p.Close()
				resp, err := p.Do(context.Background(), &Request{Address: "p:80", Method: c.method, Path: "/"})
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Close()
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					t.Error(err)
				}
				if resp.Framed != c.framed {
					t.Errorf("framed is %v, want %v", resp.Framed, c.framed)
				}
			})
		})
	}
}

// answerOnce reads one request, writes text and closes the connection.
func answerOnce(l net.Listener, text string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
}
