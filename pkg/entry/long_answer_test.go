package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func TestLongErrorAnswerOfAStreamIsForwardedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("x", 2*maxBufferedAnswer)
		b := newHarness(t, map[string]answerFunc{"head1": fixedAnswer(404, "X-Sig: s\r\n", body)})
		if w := b.send("POST", "/stream/1", "x", nil); w.status != http.StatusNotFound || w.body.String() != body {
			t.Errorf("answered %d with %d of %d bytes", w.status, w.body.Len(), len(body))
		}
	})
}

func TestLongUnsignedAnswerIsNoSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "", strings.Repeat("x", 2*maxBufferedAnswer))})
		if w := b.send("POST", "/once/1", "x", nil); w.status != http.StatusBadGateway {
			t.Errorf("answered %d with %d bytes", w.status, w.body.Len())
		}
	})
}

func TestUpstreamThatEndsWithinALongAnswerIsACrash(t *testing.T) {
	for _, kind := range []string{"once", "again"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b *harness
				b = newHarness(t, map[string]answerFunc{"p1": func(c net.Conn, _ *http.Request, attempt string) bool {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Sig: s\r\nContent-Length: %d\r\n\r\n%s", attempt, 4*maxBufferedAnswer, strings.Repeat("x", 2*maxBufferedAnswer))
					time.Sleep(10 * time.Millisecond)
					b.network.Kill("p1")
					return false
				}})
				w := b.send("POST", "/"+kind+"/1", "x", nil)
				if w.status != http.StatusOK || !w.cut {
					t.Errorf("answered %d with %d bytes, cut %v", w.status, w.body.Len(), w.cut)
				}
				if !b.gateway.guard.Watches() {
					t.Error("the crash is not held against the request")
				}
			})
		})
	}
}

func TestClientThatLeavesALongAnswerIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "X-Sig: s\r\n", strings.Repeat("x", 2*maxBufferedAnswer))})
		r, _ := http.NewRequestWithContext(context.Background(), "POST", "http://shop.example/once/1", strings.NewReader("x"))
		r.RequestURI = "/once/1"
		r.Header.Set("Authorization", "Bearer key-1")
		r.Header.Set(testHeaders.Attempt, "a")
		func() {
			defer func() { _ = recover() }() // as net/http does for ErrAbortHandler
			b.gateway.ServeHTTP(leftClient{&recorder{header: http.Header{}}}, r)
		}()
		if b.gateway.guard.Watches() {
			t.Error("the request is held responsible")
		}
	})
}

// leftClient is a ResponseWriter whose client has gone.
type leftClient struct{ *recorder }

func (leftClient) Write([]byte) (int, error) { return 0, syscall.EPIPE }
