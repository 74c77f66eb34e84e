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

// scripted serves each connection with its own script; the last one is used
// for all further ones. It returns the address and the count of requests whose
// head was read.
func scripted(t *testing.T, scripts ...func(net.Conn)) (string, *atomic.Int64) {
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

func say(s string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, s) }
}

func allow() error { return nil }

func request(address string) *Request {
	return &Request{
		Address: address,
		Method:  http.MethodPost,
		Path:    "/stamp",
		Header:  http.Header{"Idempotency-Key": {"k1"}, "Expect": {"100-continue"}, "X-Http-Method-Override": {"PUT"}},
		Body:    []byte("vest 7"),
	}
}

func TestOnceTellsHowItEnded(t *testing.T) {
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
		{"whole answer", say(ok), allow, "", "", 200},
		{"interim answers", say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + ok), allow, "", "", 200},
		{"chunks", say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"), allow, "", "", 200},
		{"redirect", say("HTTP/1.1 307 Moved\r\nLocation: /stamp2\r\nContent-Length: 0\r\n\r\n"), allow, "", "", 307},
		{"unavailable", say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), allow, "", "", 503},
		{"closed without a word", say(""), allow, outcome.Unknown, StepRead, 0},
		{"cut in the body", say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone"), allow, outcome.Unknown, StepRead, 0},
		{"cut in the chunks", say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n"), allow, outcome.Unknown, StepRead, 0},
		{"no length", say("HTTP/1.1 200 OK\r\n\r\ndone"), allow, outcome.Unknown, StepRead, 0},
		{"interim without end", say(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20)), allow, outcome.Unknown, StepRead, 0},
		{"forbidden at the last moment", say(ok), func() error { return refused }, outcome.NotRun, StepCheck, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, requests := scripted(t, c.script)
			tr := New(nil)
			a, err := tr.DoOnce(t.Context(), request(address), c.check, 1<<20)
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
				t.Fatalf("the service saw %d requests, want %d", got, want)
			}
		})
	}
}

func TestOnceWithoutConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = New(nil).DoOnce(t.Context(), request(address), allow, 1)
	var failed *CallError
	if !errors.As(err, &failed) || failed.Outcome != outcome.NotRun || failed.Step != StepDial {
		t.Fatalf("got %v", err)
	}
}

func TestOnceEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	address, _ := scripted(t, func(c net.Conn) {
		cancel()
		_, _ = c.Read(make([]byte, 1))
	})
	_, err := New(nil).DoOnce(ctx, request(address), allow, 1)
	var failed *CallError
	if !errors.As(err, &failed) || failed.Outcome != outcome.Unknown || !failed.Timeout {
		t.Fatalf("got %v", err)
	}
}

func TestOnceKeepsAtMostMaxBody(t *testing.T) {
	address, _ := scripted(t, say("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"))
	a, err := New(nil).DoOnce(t.Context(), request(address), allow, 4)
	if err != nil {
		t.Fatal(err)
	}
	if string(a.Body) != "0123" || a.Size != 10 || a.Complete() {
		t.Fatalf("got %q of %d", a.Body, a.Size)
	}
}

// TestReusedConnectionClosedAtTheMoment is the case in which net/http resends
// a request by itself: the service answers one request on a connection, then
// reads the next one on it and closes. The control shows that the case is hit.
func TestReusedConnectionClosedAtTheMoment(t *testing.T) {
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
		t.Fatalf("net/http ran it %d times: the case is not hit", control)
	}
	for name, send := range map[string]func(*Transport, *Request) error{
		"once": func(tr *Transport, r *Request) error {
			_, err := tr.DoOnce(t.Context(), r, allow, 1)
			return err
		},
		"do": func(tr *Transport, r *Request) error {
			resp, err := tr.Do(t.Context(), r, allow)
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
				warm, stamp := request(address), request(address)
				warm.Path = "/warm"
				warm.Body, stamp.Body = []byte(body), []byte(body)
				_ = send(tr, warm)
				var failed *CallError
				if err := send(tr, stamp); !errors.As(err, &failed) || failed.Outcome != outcome.Unknown {
					t.Errorf("%s with body %q: got %v", name, body, err)
				}
			})
			if got != 1 {
				t.Errorf("%s with body %q ran it %d times", name, body, got)
			}
		}
	}
}
