package plaincall

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sesamemux/sesamemux/pkg/outcome"
)

// startScriptedServer serves the n-th connection with the n-th script, and all further
// connections with the last one. It returns the address and the number of requests
// that were read.
func startScriptedServer(t *testing.T, scripts ...func(net.Conn)) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests := new(atomic.Int64)
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			script := scripts[min(n, len(scripts)-1)]
			go func() {
				defer c.Close()
				if readRequest(c) {
					requests.Add(1)
					script(c)
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

func readRequest(c net.Conn) bool {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func respondWith(s string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, s) }
}

func allowCall() error { return nil }

func newRequest(address string) *Request {
	return &Request{
		Address: address,
		Method:  http.MethodPost,
		Path:    "/stamp",
		Header:  http.Header{"Idempotency-Key": {"k1"}, "Expect": {"100-continue"}, "X-Http-Method-Override": {"PUT"}},
		Body:    []byte("vest 7"),
	}
}

func TestDoOnceOutcome(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	refused := errors.New("lease lapsed")
	for _, c := range []struct {
		name    string
		script  func(net.Conn)
		check   func() error
		outcome outcome.Outcome // of the error
		step    Step
		status  int
	}{
		{"complete response", respondWith(ok), allowCall, "", "", 200},
		{"interim responses", respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + ok), allowCall, "", "", 200},
		{"chunks", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), allowCall, "", "", 200},
		{"redirect", respondWith("HTTP/1.1 307 Moved\r\nLocation: /stamp2\r\nContent-Length: 0\r\n\r\n"), allowCall, "", "", 307},
		{"unavailable", respondWith("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), allowCall, "", "", 503},
		{"closed without a response", respondWith(""), allowCall, outcome.Unknown, StepRead, 0},
		{"truncated body", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone"), allowCall, outcome.Unknown, StepRead, 0},
		{"truncated chunks", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), allowCall, outcome.Unknown, StepRead, 0},
		{"no content length", respondWith("HTTP/1.1 200 OK\r\n\r\ndone"), allowCall, outcome.Unknown, StepRead, 0},
		{"endless interim responses", respondWith(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20)), allowCall, outcome.Unknown, StepRead, 0},
		{"refused by the check", respondWith(ok), func() error { return refused }, outcome.NotRun, StepCheck, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, requests := startScriptedServer(t, c.script)
			tr := New(nil)
			a, err := tr.DoOnce(t.Context(), newRequest(address), c.check, 1<<20)
			var failed *CallError
			switch {
			case errors.As(err, &failed):
				if failed.Outcome != c.outcome || failed.Step != c.step {
					t.Fatalf("got %v", failed)
				}
			case c.step != "":
				t.Fatalf("no error, want %s at %s", c.outcome, c.step)
			case a.Status != c.status:
				t.Fatalf("status %d, want %d", a.Status, c.status)
			}
			want := int64(1)
			if c.outcome == outcome.NotRun {
				want = 0
			}
			if got := requests.Load(); got != want {
				t.Fatalf("service received %d requests, want %d", got, want)
			}
		})
	}
}

func TestDoOnceDialFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = New(nil).DoOnce(t.Context(), newRequest(address), allowCall, 1)
	var failed *CallError
	if !errors.As(err, &failed) || failed.Outcome != outcome.NotRun || failed.Step != StepDial {
		t.Fatalf("got %v", err)
	}
}

func TestDoOnceEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	address, _ := startScriptedServer(t, func(c net.Conn) {
		cancel()
		_, _ = c.Read(make([]byte, 1))
	})
	_, err := New(nil).DoOnce(ctx, newRequest(address), allowCall, 1)
	var failed *CallError
	if !errors.As(err, &failed) || failed.Outcome != outcome.Unknown || !failed.Timeout {
		t.Fatalf("got %v", err)
	}
}

func TestDoOnceTruncatesLargeBody(t *testing.T) {
	address, _ := startScriptedServer(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"))
	a, err := New(nil).DoOnce(t.Context(), newRequest(address), allowCall, 4)
	if err != nil {
		t.Fatal(err)
	}
	if string(a.Body) != "0123" || a.Size != 10 || a.Complete() {
		t.Fatalf("got body %q, size %d, want 0123 of 10 and not complete", a.Body, a.Size)
	}
}

// TestNoResendOnReusedConnection covers the case in which net/http resends a request
// by itself: the service answers one request on a connection, then reads the next one
// and closes the connection. The control run with http.Transport shows that the case
// occurs.
func TestNoResendOnReusedConnection(t *testing.T) {
	serve := func(t *testing.T, send func(address string)) int64 {
		var runs atomic.Int64
		closeAfter := new(atomic.Bool)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path != "/stamp" {
				return
			}
			runs.Add(1)
			if closeAfter.CompareAndSwap(false, true) {
				panic(http.ErrAbortHandler)
			}
		}))
		defer s.Close()
		send(s.Listener.Addr().String())
		return runs.Load()
	}
	control := serve(t, func(address string) {
		tr := &http.Transport{}
		defer tr.CloseIdleConnections()
		for _, path := range []string{"/warm", "/stamp"} {
			req, _ := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("vest 7"))
			req.Header.Set("Idempotency-Key", "k1")
			if resp, err := tr.RoundTrip(req); err == nil {
				resp.Body.Close()
			}
		}
	})
	if control != 2 {
		t.Fatalf("control: net/http sent the request %d times, want 2", control)
	}
	for name, send := range map[string]func(*Transport, *Request) error{
		"once": func(tr *Transport, r *Request) error {
			_, err := tr.DoOnce(t.Context(), r, allowCall, 1)
			return err
		},
		"do": func(tr *Transport, r *Request) error {
			resp, err := tr.Do(t.Context(), r, allowCall)
			if err == nil {
				resp.Body.Close()
			}
			return err
		},
	} {
		for _, body := range []string{"vest 7", ""} {
			got := serve(t, func(address string) {
				tr := New(nil)
				defer tr.Close()
				warm, stamp := newRequest(address), newRequest(address)
				warm.Path = "/warm"
				warm.Body, stamp.Body = []byte(body), []byte(body)
				_ = send(tr, warm)
				var failed *CallError
				if err := send(tr, stamp); !errors.As(err, &failed) || failed.Outcome != outcome.Unknown {
					t.Errorf("%s with body %q: got %v", name, body, err)
				}
			})
			if got != 1 {
				t.Errorf("%s with body %q: request ran %d times, want 1", name, body, got)
			}
		}
	}
}
