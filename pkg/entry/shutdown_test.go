package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// stop shuts the server for clients down as the program does, with EndRequests 200 ms before the end.
func (b *harness) stop(server *http.Server, limit time.Duration) {
	b.gateway.BeginShutdown()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	time.AfterFunc(limit-200*time.Millisecond, b.gateway.EndRequests)
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

// TestRequestsInProgressGetAnAnswerBeforeTheProcessExits: their connections were once closed at the
// exit of the process.
func TestRequestsInProgressGetAnAnswerBeforeTheProcessExits(t *testing.T) {
	notRun := func(c net.Conn, r *http.Request, attempt string) bool {
		time.Sleep(10 * time.Millisecond)
		return fixedAnswer(503, "X-Not-Run: 1\r\n", "full")(c, r, attempt)
	}
	silent := func(net.Conn, *http.Request, string) bool { time.Sleep(time.Minute); return false }
	begun := func(c net.Conn, _ *http.Request, attempt string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Sig: s\r\nContent-Length: 9\r\n\r\nhalf", attempt)
		time.Sleep(time.Minute)
		return false
	}
	for name, c := range map[string]struct {
		answer answerFunc
		status map[string]int // by kind
	}{
		"silent upstream":       {silent, map[string]int{"once": 502, "again": 502, "stream": 502}},
		"half an answer":        {begun, map[string]int{"once": 502, "again": 502}},
		"upstream that is full": {notRun, map[string]int{"once": 503, "again": 503, "stream": 503}},
	} {
		for kind, status := range c.status {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, map[string]answerFunc{"p1": c.answer, "head1": c.answer})
					server := b.serveClients()
					time.AfterFunc(100*time.Millisecond, func() { b.stop(server, 2*time.Second) })
					if a := b.exchangeOnce("POST", requestText("POST", "/"+kind+"/1", "body", nil)); a.err != nil || a.status != status {
						t.Errorf("status %d, body %q, %v; want %d", a.status, a.body, a.err, status)
					}
					time.Sleep(time.Minute) // let the upstream end
				})
			})
		}
	}
}

// A stream goes on to the exit of the process.
func TestStreamThatHasBegunGoesOnDuringAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"head1": streamFrom(100, 100, "s", nil)}) // 2 s
		server := b.serveClients()
		time.AfterFunc(100*time.Millisecond, func() { b.stop(server, 2*time.Second) })
		if a := b.exchangeOnce("POST", requestText("POST", "/stream/1", "body", nil)); a.err != nil || a.status != 200 {
			t.Errorf("status %d, %d bytes, %v", a.status, len(a.body), a.err)
		}
		time.Sleep(time.Minute) // let the server stop
	})
}

// A request on a kept connection crosses the close of that connection: it is answered, or no upstream
// gets it.
func TestRequestThatCrossesAStopIsAnsweredOrNotSent(t *testing.T) {
	for offset := -5 * time.Millisecond; offset <= 5*time.Millisecond; offset += 500 * time.Microsecond {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "X-Sig: s\r\n", "ok")})
				server := b.serveClients()
				c := b.dialClient()
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				text := requestText("POST", "/once/1", "body", nil)
				_, _ = io.WriteString(c, text)
				if a := readClientAnswer(reader, "POST"); a.status != 200 {
					t.Fatalf("first request: status %d, %v", a.status, a.err)
				}
				time.AfterFunc(time.Second+offset, func() { b.stop(server, 2*time.Second) })
				time.Sleep(time.Second)
				_, _ = io.WriteString(c, text)
				a := readClientAnswer(reader, "POST")
				time.Sleep(time.Minute)
				if n := b.total(); a.err != nil && n != 1 || a.err == nil && (a.status != 200 || n != 2) {
					t.Errorf("status %d, %v; %d requests reached upstreams", a.status, a.err, n)
				}
			})
		})
	}
}
