package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A client that closes its sending side counts as gone. It once read an empty success.
func TestClientThatLeftGetsNoSuccess(t *testing.T) {
	for _, kind := range []string{"once", "again", "stream"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent := func(net.Conn, *http.Request, string) bool { time.Sleep(time.Minute); return false }
				b := newHarness(t, map[string]answerFunc{"p1": silent, "head1": silent})
				ctx, leave := context.WithCancel(context.Background())
				r, _ := http.NewRequestWithContext(ctx, "POST", "http://shop.example/"+kind+"/1", strings.NewReader("p"))
				r.RequestURI = "/" + kind + "/1"
				r.Header.Set("Authorization", "Bearer key-1")
				r.Header.Set(testHeaders.Model, "m")
				time.AfterFunc(100*time.Millisecond, leave)
				if w := serveRecorded(b.gateway, r); !w.cut {
					t.Errorf("the handler returned with status %d, which ends as a success", w.status)
				}
				time.Sleep(2 * time.Minute) // let the upstream end
			})
		})
	}
}

// TestClientThatClosedItsSendingSideReadsNoSuccess: over TCP such a client still reads.
func TestClientThatClosedItsSendingSideReadsNoSuccess(t *testing.T) {
	b := newHarness(t, map[string]answerFunc{"p1": func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1)) // until the entry host gives up
		return false
	}})
	server := httptest.NewServer(b.gateway)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /once/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Left: 60000\r\n\r\n")
	_ = c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); len(got) > 0 {
		t.Errorf("read %q", got)
	}
}
