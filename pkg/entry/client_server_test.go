package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/logging"
)

// clientAddress is where the entry host of a harness takes clients.
const clientAddress = "web:80"

// serveClients lets clients reach the entry host over an HTTP server.
func (b *harness) serveClients() *http.Server {
	server := &http.Server{Handler: b.gateway, ErrorLog: logging.Discard().StandardLog()}
	l := b.network.Listen("web", clientAddress)
	go func() { _ = server.Serve(l) }()
	b.t.Cleanup(func() { _ = server.Close() })
	return server
}

// dialClient opens a client's connection to the entry host.
func (b *harness) dialClient() net.Conn {
	c, err := b.network.Dialer("client")(context.Background(), clientAddress)
	if err != nil {
		b.t.Fatal(err)
	}
	return c
}

// requestText returns a client's request with a time limit of 3 s as it is sent. extra replaces the
// values of headers.
func requestText(method, path, body string, extra map[string]string) string {
	header := map[string]string{
		"Authorization": "Bearer key-1", testHeaders.Attempt: "a-1", testHeaders.Deadline: "3000", testHeaders.Model: "m", testHeaders.TokenCounts: "100,50",
		"Content-Length": strconv.Itoa(len(body)),
	}
	maps.Copy(header, extra)
	text := method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n"
	for _, name := range slices.Sorted(maps.Keys(header)) {
		text += name + ": " + header[name] + "\r\n"
	}
	return text + "\r\n" + body
}

// clientAnswer is what a client got.
type clientAnswer struct {
	status    int
	signature string
	body      string
	err       error // the answer is missing or incomplete
}

// readClientAnswer reads the answer to a request, after the invitation to send its body.
func readClientAnswer(r *bufio.Reader, method string) clientAnswer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(r, &http.Request{Method: method})
	}
	if err != nil {
		return clientAnswer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return clientAnswer{resp.StatusCode, resp.Header.Get(testHeaders.Signature), string(body), err}
}

// exchangeOnce sends one request on a new connection and returns its answer.
func (b *harness) exchangeOnce(method, text string) clientAnswer {
	c := b.dialClient()
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		return clientAnswer{err: err}
	}
	return readClientAnswer(bufio.NewReader(c), method)
}

func TestEveryWholeRequestGetsACompleteAnswer(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedAnswer)
	raw := func(text string) answerFunc {
		return func(c net.Conn, _ *http.Request, attempt string) bool {
			_, err := fmt.Fprintf(c, text, attempt)
			return err == nil
		}
	}
	for name, c := range map[string]struct {
		method, path string
		extra        map[string]string
		answer       answerFunc
		status       int
		body         string
	}{
		"HEAD":                            {"HEAD", "/again/1", nil, raw("HTTP/1.1 200 X\r\nX-Attempt: %s\r\nX-Sig: s\r\nContent-Length: 7\r\n\r\n"), 200, ""},
		"204":                             {"GET", "/again/1", nil, raw("HTTP/1.1 204 X\r\nX-Attempt: %s\r\nX-Sig: s\r\n\r\n"), 204, ""},
		"304":                             {"GET", "/again/1", nil, raw("HTTP/1.1 304 X\r\nX-Attempt: %s\r\nContent-Length: 9\r\n\r\n"), 304, ""},
		"Connection: close":               {"POST", "/once/1", nil, cutAfter("HTTP/1.1 200 X\r\nX-Attempt: %s\r\nX-Sig: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), 200, "ok"},
		"no length":                       {"POST", "/once/1", nil, cutAfter("HTTP/1.1 200 X\r\nX-Attempt: %s\r\nX-Sig: s\r\n\r\nok"), 200, "ok"},
		"expect 100-continue":             {"POST", "/once/1", map[string]string{"Expect": "100-continue"}, fixedAnswer(200, "X-Sig: s\r\n", "ok"), 200, "ok"},
		"at most once, silent":            {"POST", "/once/1", nil, pausing(200, "a", "b"), 200, "ab"},
		"at most once, silent, long":      {"POST", "/once/1", nil, pausing(200, long, "b"), 200, long + "b"},
		"idempotent, silent":              {"POST", "/again/1", nil, pausing(200, "a", "b"), 200, "ab"},
		"idempotent, silent, long":        {"POST", "/again/1", nil, pausing(200, long, "b"), 200, long + "b"},
		"failure of a stream, silent":     {"POST", "/stream/1", nil, pausing(404, "a", "b"), 404, "ab"},
		"long failure of a stream":        {"POST", "/stream/1", nil, pausing(404, long, "b"), 404, long + "b"},
		"informational head of an answer": {"POST", "/once/1", nil, raw("HTTP/1.1 103 X\r\nX-Attempt: %s\r\nX-Sig: s\r\n\r\n"), 502, "upstream failed; the request may have run\n"},
		"status below 100":                {"POST", "/once/1", nil, raw("HTTP/1.1 099 X\r\nX-Attempt: %s\r\nX-Sig: s\r\nContent-Length: 0\r\n\r\n"), 502, "upstream failed; the request may have run\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, map[string]answerFunc{"p1": c.answer, "head1": c.answer})
				server := b.serveClients()
				a := b.exchangeOnce(c.method, requestText(c.method, c.path, "body", c.extra))
				if a.err != nil || a.status != c.status || a.body != c.body {
					t.Errorf("status %d, %d bytes %.50q, %v; want %d, %d bytes", a.status, len(a.body), a.body, a.err, c.status, len(c.body))
				}
				_ = server.Close()
				time.Sleep(time.Minute) // let the upstream end
			})
		})
	}
}

func TestOddHeadersOfAClientGetACompleteAnswer(t *testing.T) {
	for name, values := range map[string][]string{
		testHeaders.Deadline:    {"NaN", "Inf", "1e300", "9223372036854775808", "x", ""},
		testHeaders.TokenCounts: {"-9223372036854775808,9223372036854775807", "9223372036854775807,-9223372036854775808", "x,y", ",", ""},
		testHeaders.Priority:    {"\xff", "99999999999999999999", ""},
		testHeaders.LastEventID: {"\xff", "0", "-1"},
		"Connection":            {"X-Hop", ",", "\xff"},
		"Accept-Encoding":       {"gzip"},
		"Te":                    {"trailers"},
	} {
		for _, value := range values {
			t.Run(name+": "+strconv.Quote(value), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "X-Sig: s\r\n", "ok"), "head1": streamFrom(2, 9, "s", nil)})
					server := b.serveClients()
					for _, kind := range []string{"once", "again", "stream"} {
						extra := map[string]string{name: value}
						if a := b.exchangeOnce("POST", requestText("POST", "/"+kind+"/1", "body", extra)); a.err != nil || a.status != 200 || a.signature != "s" {
							t.Errorf("%s: status %d, %q, %v", kind, a.status, a.body, a.err)
						}
					}
					_ = server.Close()
					time.Sleep(time.Minute) // let the upstreams end
				})
			})
		}
	}
}
