package entry

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/clock"
	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/fleet"
	"github.com/sesamemux/sesamemux/pkg/logging"
	"github.com/sesamemux/sesamemux/pkg/memconn"
	"github.com/sesamemux/sesamemux/pkg/upstream"
)

var testHeaders = Headers{
	Attempt: "X-Attempt", Deadline: "X-Left", Model: "X-Model", TokenCounts: "X-Tokens", LastEventID: "Last-Event-Id",
	Organisation: "X-Org", Incarnation: "X-Who", NotRun: "X-Not-Run", Signature: "X-Sig", Priority: "X-Prio", PromptParts: "X-Parts", RateLimit: "X-Limit", Leaving: "X-Leaving",
}

func testSet() *catalog.Set {
	route := func(name string, kind catalog.Kind, service string, attempts int) catalog.Route {
		return catalog.Route{
			Name: name, Host: "shop.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 4 * time.Second, Objective: 300 * time.Millisecond,
			MaxAttempts: attempts, Resumable: kind == catalog.Stream, Backends: []catalog.Backend{{Service: service, Weight: 1}},
		}
	}
	engine := &catalog.Engine{Slots: 4, StepsPerPass: 5, StepTime: 6 * time.Millisecond, PrefillTokensPerS: 46000, Models: []catalog.Model{{Name: "m", GroupSize: 1, Pace: 1}}}
	return &catalog.Set{
		Version: 1,
		Routes: []catalog.Route{
			route("once", catalog.AtMostOnce, "plain", 2),
			route("again", catalog.Idempotent, "plain", 2),
			route("stream", catalog.Stream, "models", 3),
			route("twice", catalog.Stream, "models", 2),
		},
		Services:      []catalog.Service{{Name: "plain"}, {Name: "models", Engine: engine, WarmupPerSecond: 8}},
		Organisations: []catalog.Organisation{{Name: "acme", Keys: []string{"key-1"}}},
		Limits:        catalog.Limits{BodyBytes: 1000},
	}
}

// harness is a gateway in front of simulated upstreams, with an in-memory network and virtual time.
type harness struct {
	t         *testing.T
	network   *memconn.Network
	gateway   *Gateway
	upstreams []fleet.Upstream
	mu        sync.Mutex
	requests  map[string][]*http.Request // by upstream ID
	bodies    map[string][]string
	received  atomic.Int64 // bytes that entry hosts read from upstreams
	// incarnations are those that have taken the place of upstreams, by the ID of these.
	incarnations map[string]string
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// dialUpstream returns a dial function whose connections count into received.
func (b *harness) dialUpstream(name string) upstream.DialFunc {
	dial := b.network.Dialer(name)
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, &b.received}, nil
	}
}

// answerFunc answers a request on a raw connection. It returns whether the connection stays open.
type answerFunc func(c net.Conn, r *http.Request, attempt string) bool

func newHarness(t *testing.T, upstreams map[string]answerFunc) *harness {
	return newLoggedHarness(t, logging.Discard(), upstreams)
}

func newLoggedHarness(t *testing.T, logger *log.Logger, upstreams map[string]answerFunc) *harness {
	b := &harness{t: t, network: memconn.New(time.Millisecond), requests: map[string][]*http.Request{}, bodies: map[string][]string{}, incarnations: map[string]string{}}
	t.Cleanup(func() {
		for id := range upstreams {
			b.network.Kill(id)
		}
	})
	var us []fleet.Upstream
	for id, answer := range upstreams {
		service := "plain"
		u := fleet.Upstream{ID: id, Address: id + ":80", Zone: "z1", StartedMS: 1, Sequence: 1, Slots: 4, State: fleet.Ready, Service: service}
		if strings.HasPrefix(id, "head") {
			u = headRecord(id)
		}
		us = append(us, u)
		b.serve(id, answer)
	}
	b.upstreams = us
	b.gateway = b.newGateway("e1", logger)
	return b
}

// headRecord returns the record of a head of the model m.
func headRecord(id string) fleet.Upstream {
	return fleet.Upstream{
		ID: id, Address: id + ":80", Zone: "z1", StartedMS: 1, Sequence: 1, Slots: 4, State: fleet.Ready, Service: "models",
		Assignment: &fleet.Assignment{Group: "m/1", Epoch: 1, State: fleet.AssignmentOpen},
	}
}

// newGateway adds an entry host that knows all upstreams.
func (b *harness) newGateway(name string, logger *log.Logger) *Gateway {
	g := New(Config{
		Name: name, Zone: "z1", Coordinators: []string{"nobody:1"}, PlacerAddress: name + ":9", Headers: testHeaders,
		Decode:     func([]byte) (*catalog.Set, error) { return testSet(), nil },
		RetryRatio: 0.2, RetryBurst: 100, ColdFactor: 1, ColdSlack: 1,
		Dial:        b.network.Dialer(name),
		DialBackend: b.dialUpstream(name),
		Clock:       clock.NewMonotonic(),
		Logger:      logger,
	})
	g.installDocument(nil)
	b.t.Cleanup(func() {
		g.runWatch.stop()
		g.applyPlacers(map[string]string{})
		g.pool.Close()
		g.caller.Close()
		g.suspects.Close()
	})
	g.balancer.applySync(g.now(), control.FleetSyncResult{Full: true, Converged: true, Upstreams: b.upstreams, EntryHosts: 1}, localUsage{}, true)
	return g
}

func (b *harness) serve(id string, answer answerFunc) { b.serveAs(id, id+":80", answer) }

// serveAs answers requests at an address of a host.
func (b *harness) serveAs(id, address string, answer answerFunc) {
	l := b.network.Listen(id, address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serveConn(id, c, answer)
		}
	}()
}

func (b *harness) serveConn(id string, c net.Conn, answer answerFunc) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Header.Get(testHeaders.Incarnation) == noIncarnation {
			fixedAnswer(http.StatusMisdirectedRequest, "", "other")(c, r, "")
			continue
		}
		if isHealthCheck(r) {
			b.mu.Lock()
			now := b.incarnations[id]
			b.mu.Unlock()
			answerHealthCheck(c, r, cmp.Or(now, id))
			continue
		}
		b.mu.Lock()
		b.requests[id] = append(b.requests[id], r)
		b.bodies[id] = append(b.bodies[id], string(body))
		b.mu.Unlock()
		if !answer(c, r, r.Header.Get(testHeaders.Attempt)) {
			return
		}
	}
}

// isHealthCheck reports whether a request is a health check of the services of testSet, which name no path.
func isHealthCheck(r *http.Request) bool { return r.Method == http.MethodGet && r.URL.Path == "/" }

// answerHealthCheck answers a health check at an incarnation.
func answerHealthCheck(c net.Conn, r *http.Request, id string) {
	status := http.StatusOK
	if r.Header.Get(testHeaders.Incarnation) != id {
		status = http.StatusMisdirectedRequest
	}
	fixedAnswer(status, "", "health")(c, r, "")
}

func (b *harness) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, rs := range b.requests {
		n += len(rs)
	}
	return n
}

// recorder is a ResponseWriter that supports flushing and records whether the answer was aborted.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
	cut    bool

	lastWrite time.Time
	reading   time.Duration // of each piece that is written
}

func (r *recorder) Header() http.Header { return r.header }
func (r *recorder) WriteHeader(s int)   { r.status = s }
func (r *recorder) Flush()              {}
func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	r.lastWrite = time.Now()
	time.Sleep(r.reading)
	return r.body.Write(b)
}

// send sends a client request.
func (b *harness) send(method, path, body string, header map[string]string) *recorder {
	return b.sendTo(b.gateway, method, path, body, header)
}

// sendTo sends a client request to the given entry host.
func (b *harness) sendTo(g *Gateway, method, path, body string, header map[string]string) *recorder {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://shop.example"+path, strings.NewReader(body))
	if err != nil {
		b.t.Error(err)
		return &recorder{header: http.Header{}}
	}
	r.RequestURI = path
	r.Host = "shop.example"
	r.Header.Set(testHeaders.Attempt, "a-1")
	r.Header.Set(testHeaders.Deadline, "3000")
	r.Header.Set("Authorization", "Bearer key-1")
	r.Header.Set(testHeaders.Model, "m")
	r.Header.Set(testHeaders.TokenCounts, "100,50")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return serveRecorded(g, r)
}

// serveRecorded passes a request to an entry host and returns what the client gets.
func serveRecorded(g *Gateway, r *http.Request) *recorder {
	w := &recorder{header: http.Header{}}
	serveTo(g, w, r)
	return w
}

// serveTo passes a request of a client to an entry host.
func serveTo(g *Gateway, w *recorder, r *http.Request) {
	defer func() {
		if v := recover(); v != nil {
			w.cut = v == http.ErrAbortHandler
		}
	}()
	g.ServeHTTP(w, r)
}

func fixedAnswer(status int, extra, body string) answerFunc {
	return func(c net.Conn, _ *http.Request, attempt string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Attempt: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, attempt, extra, len(body), body)
		return err == nil
	}
}

func TestRequestPassesThroughUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"p1": fixedAnswer(201, "X-Sig: s1\r\nX-Other: o\r\n", "done")})
		w := b.send("POST", "/once/a%2Fb?q=1&q=2", "payload", map[string]string{"X-Custom": "c", "X-Org": "forged", "Connection": "X-Hop", "X-Hop": "h"})
		if w.status != 201 || w.body.String() != "done" || w.header.Get("X-Sig") != "s1" || w.header.Get("X-Other") != "o" {
			t.Errorf("got answer %d %q %v", w.status, w.body.String(), w.header)
		}
		r := b.requests["p1"][0]
		if r.Method != "POST" || r.RequestURI != "/once/a%2Fb?q=1&q=2" || r.Host != "shop.example" || b.bodies["p1"][0] != "payload" {
			t.Errorf("upstream got %s %s %s %q", r.Method, r.RequestURI, r.Host, b.bodies["p1"][0])
		}
		for name, want := range map[string]string{"X-Custom": "c", "X-Org": "acme", "X-Who": "p1", "Authorization": "", "X-Hop": "", "X-Attempt": "a-1"} {
			if got := r.Header.Get(name); got != want {
				t.Errorf("%s is %q, want %q", name, got, want)
			}
		}
	})
}

func TestRejectedRequestsReachNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"p1": fixedAnswer(200, "X-Sig: s\r\n", "x")})
		for _, c := range []struct {
			path, key, body string
			want            int
		}{
			{"/none/1", "key-1", "", 404}, {"/once/1", "key-9", "", 401}, {"/once/1", "key-1", strings.Repeat("x", 1001), 413},
		} {
			if w := b.send("POST", c.path, c.body, map[string]string{"Authorization": "Bearer " + c.key}); w.status != c.want {
				t.Errorf("%s with %s: %d, want %d", c.path, c.key, w.status, c.want)
			}
		}
		if b.total() != 0 {
			t.Errorf("%d requests reached upstreams", b.total())
		}
		b.gateway.index.Store(nil)
		if w := b.send("POST", "/once/1", "", nil); w.status != 503 || w.header.Get("Retry-After") == "" {
			t.Errorf("without a document: %d", w.status)
		}
	})
}

// cutAfter writes the start of an answer and closes the connection.
func cutAfter(text string) answerFunc {
	return func(c net.Conn, _ *http.Request, attempt string) bool {
		_, _ = fmt.Fprintf(c, text, attempt)
		return false
	}
}

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	for name, answer := range map[string]answerFunc{
		"no answer":                  cutAfter("%.0s"),
		"cut in the head":            cutAfter("HTTP/1.1 200 OK\r\nX-Att%.0s"),
		"cut in the body":            cutAfter("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Sig: s\r\nContent-Length: 9\r\n\r\nhalf"),
		"another request's answer":   cutAfter("HTTP/1.1 200 OK\r\nX-Attempt: other%.0s\r\nX-Sig: s\r\nContent-Length: 1\r\n\r\nx"),
		"no signature":               cutAfter("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nContent-Length: 1\r\n\r\nx"),
		"503 without not-run header": cutAfter("HTTP/1.1 503 No\r\nX-Attempt: %s\r\nContent-Length: 1\r\n\r\nx"),
		"bytes that are not HTTP":    cutAfter("garbage%.0s\r\n\r\n"),
		"encoded body":               cutAfter("HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Sig: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"),
		"answer after the deadline":  func(net.Conn, *http.Request, string) bool { time.Sleep(time.Minute); return false },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, map[string]answerFunc{"p1": answer, "p2": answer})
				w := b.send("POST", "/once/1", "book", nil)
				if w.status != http.StatusBadGateway && w.status != http.StatusGatewayTimeout {
					t.Errorf("answered %d", w.status)
				}
				if b.total() != 1 {
					t.Errorf("sent %d times", b.total())
				}
				time.Sleep(2 * time.Minute) // let sleeping upstreams end
			})
		})
	}
}

func TestNotRunRequestIsRetriedOnAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := true
		var mu sync.Mutex
		answer := func(c net.Conn, r *http.Request, attempt string) bool {
			mu.Lock()
			refuse := first
			first = false
			mu.Unlock()
			if refuse {
				return fixedAnswer(503, "X-Not-Run: 1\r\n", "full")(c, r, attempt)
			}
			return fixedAnswer(200, "X-Sig: s\r\n", "booked")(c, r, attempt)
		}
		b := newHarness(t, map[string]answerFunc{"p1": answer, "p2": answer})
		if w := b.send("POST", "/once/1", "book", nil); w.status != 200 || w.body.String() != "booked" {
			t.Errorf("answered %d %q", w.status, w.body.String())
		}
	})
}

func TestAllUpstreamsRefusingIsAnsweredAtOnceWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := fixedAnswer(503, "X-Not-Run: 1\r\n", "full")
		b := newHarness(t, map[string]answerFunc{"p1": full, "p2": full})
		before := time.Now()
		w := b.send("POST", "/once/1", "book", nil)
		if w.status != 503 || w.header.Get("Retry-After") == "" {
			t.Errorf("answered %d, Retry-After %q", w.status, w.header.Get("Retry-After"))
		}
		if took := time.Since(before); took > 100*time.Millisecond {
			t.Errorf("took %v of virtual time", took)
		}
	})
}

func TestRequestThatWasNotSentIsServedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := fixedAnswer(200, "X-Sig: s\r\n", "booked")
		b := newHarness(t, map[string]answerFunc{"p1": answer, "p2": answer, "p3": answer})
		b.network.Kill("p1")
		b.network.Kill("p2")
		for range 20 {
			if w := b.send("POST", "/once/1", "book", nil); w.status != 200 {
				t.Errorf("answered %d %q", w.status, &w.body)
			}
			time.Sleep(maxBackoff)
		}
	})
}

func TestFailedIdempotentRequestIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		n := 0
		answer := func(c net.Conn, r *http.Request, attempt string) bool {
			mu.Lock()
			n++
			k := n
			mu.Unlock()
			if k == 1 {
				return fixedAnswer(500, "X-Sig: bad\r\n", "oops")(c, r, attempt)
			}
			return fixedAnswer(200, "X-Sig: good\r\n", "fine")(c, r, attempt)
		}
		b := newHarness(t, map[string]answerFunc{"p1": answer, "p2": answer})
		if w := b.send("GET", "/again/1", "", nil); w.status != 200 || w.header.Get("X-Sig") != "good" {
			t.Errorf("answered %d %q", w.status, w.header.Get("X-Sig"))
		}
		n = -10
		answerAll := fixedAnswer(500, "X-Sig: bad\r\n", "oops")
		b = newHarness(t, map[string]answerFunc{"p1": answerAll, "p2": answerAll})
		if w := b.send("GET", "/again/1", "", nil); w.status != 500 || w.header.Get("X-Sig") != "bad" || b.total() != 2 {
			t.Errorf("answered %d %q after %d", w.status, w.header.Get("X-Sig"), b.total())
		}
	})
}

// streamFrom sends events from after Last-Event-Id up to last. After stop events it calls end and
// closes the connection.
func streamFrom(last, stop int, sig string, end func(c net.Conn)) answerFunc {
	return func(c net.Conn, r *http.Request, attempt string) bool {
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Sig: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, sig)
		for i := from + 1; i <= last; i++ {
			if i-from > stop {
				end(c)
				return false
			}
			time.Sleep(20 * time.Millisecond)
			chunk := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// breaksPermanently sends four events and closes the connection; it never resumes a stream.
func breaksPermanently() answerFunc {
	first := streamFrom(10, 4, "s", func(c net.Conn) { _ = c.Close() })
	return func(c net.Conn, r *http.Request, attempt string) bool {
		return r.Header.Get("Last-Event-Id") == "" && first(c, r, attempt)
	}
}

func events10() string {
	var s strings.Builder
	for i := 1; i <= 10; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: e%d\n\n", i, i)
	}
	return s.String()
}

func TestStreamResumesOnAnotherUpstreamAfterTheLastWholeEvent(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"reset":               func(c net.Conn) { _ = c.Close() },
		"partial event":       func(c net.Conn) { _, _ = io.WriteString(c, "9\r\nid: 99\nda\r\n") },
		"end within an event": func(c net.Conn) { _, _ = io.WriteString(c, "9\r\nid: 99\nda\r\n0\r\n\r\n") },
		"silence":             func(net.Conn) { time.Sleep(time.Minute) },
		"invalid chunk":       func(c net.Conn) { _, _ = io.WriteString(c, "zz\r\nid: 99\n\n") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				n := 0
				answer := func(c net.Conn, r *http.Request, attempt string) bool {
					mu.Lock()
					n++
					k := n
					mu.Unlock()
					if k == 1 {
						return streamFrom(10, 4, "first", end)(c, r, attempt)
					}
					return streamFrom(10, 10, "second", nil)(c, r, attempt)
				}
				b := newHarness(t, map[string]answerFunc{"head1": answer, "head2": answer})
				before := time.Now()
				w := b.send("POST", "/stream/1", "prompt", nil)
				if w.cut || w.body.String() != events10() {
					t.Errorf("cut %v, body %q", w.cut, w.body.String())
				}
				if w.header.Get("X-Sig") != "first" {
					t.Errorf("signature %q, want the first upstream's", w.header.Get("X-Sig"))
				}
				if took := time.Since(before); took > streamingHeadTimeout+time.Second {
					t.Errorf("took %v of virtual time", took)
				}
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

func TestStreamWithoutAnotherHeadIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"head1": breaksPermanently()})
		before := time.Now()
		w := b.send("POST", "/stream/1", "prompt", nil)
		if !w.cut || strings.Count(w.body.String(), "data:") != 4 {
			t.Errorf("truncated stream was not aborted: %d %q", w.status, w.body.String())
		}
		if took := time.Since(before); took > maxResumeWait+time.Second {
			t.Errorf("stream ended after %v of virtual time", took)
		}
	})
}

// Attempts without any answer may have begun to run, so they count against the route's maximum
// number of attempts. Not counting them exceeded the route's limit.
func TestSilentAttemptsCountAgainstTheRouteLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(net.Conn, *http.Request, string) bool { time.Sleep(time.Minute); return false }
		b := newHarness(t, map[string]answerFunc{"head1": silent, "head2": silent, "head3": silent, "head4": silent})
		b.send("POST", "/twice/1", "prompt", nil)
		if n := b.total(); n > 2 {
			t.Errorf("sent to %d upstreams, the route allows 2", n)
		}
		time.Sleep(2 * time.Minute)
	})
}

// Many streams break off within one second, so that some log lines are suppressed. The suppression
// once skipped the abort as well, and a truncated stream ended like a complete one.
func TestBrokenStreamsAreAbortedWhenLogLinesAreSuppressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"head1": breaksPermanently()})
		b.gateway.requestLog.windowStart = b.gateway.now() + time.Hour
		b.gateway.requestLog.count = maxLinesPerSecond
		if w := b.send("POST", "/stream/1", "prompt", nil); !w.cut {
			t.Errorf("truncated stream was not aborted: %d %q", w.status, w.body.String())
		}
	})
}

// A client that disconnected in the middle may still read data already sent, which must not look
// like a complete answer.
func TestStreamOfADisconnectedClientIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"head1": streamFrom(100, 100, "s", nil)})
		ctx, leave := context.WithCancel(context.Background())
		r, _ := http.NewRequestWithContext(ctx, "POST", "http://shop.example/stream/1", strings.NewReader("p"))
		r.RequestURI = "/stream/1"
		r.Header.Set("Authorization", "Bearer key-1")
		r.Header.Set(testHeaders.Attempt, "a")
		r.Header.Set(testHeaders.Model, "m")
		go func() { time.Sleep(100 * time.Millisecond); leave() }()
		aborted := false
		func() {
			defer func() { aborted = recover() == http.ErrAbortHandler }()
			b.gateway.ServeHTTP(&recorder{header: http.Header{}}, r)
		}()
		if !aborted {
			t.Error("the answer was not aborted")
		}
		time.Sleep(time.Minute) // let the upstream end
	})
}

// The only head breaks off and accepts requests again shortly after.
func TestStreamWaitsBrieflyForAHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"head1": streamFrom(10, 4, "s", func(c net.Conn) { _ = c.Close() })})
		w := b.send("POST", "/stream/1", "prompt", nil)
		if w.cut || w.body.String() != events10() {
			t.Errorf("cut %v, body %q", w.cut, w.body.String())
		}
	})
}

func TestLastEventIDIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"head1": streamFrom(10, 10, "s", nil)})
		w := b.send("POST", "/stream/1", "prompt", map[string]string{"Last-Event-Id": "8"})
		if got := strings.Count(w.body.String(), "data:"); got != 2 {
			t.Errorf("%d events after event 8 of 10", got)
		}
	})
}

// More requests arrive within a second than a cold upstream may get from all entry hosts together.
func TestColdBoundHoldsOverAllEntryHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"head1": streamFrom(1, 1, "s", nil)})
		b.gateway.balancer.entryHosts = 1
		allowed := int((8.0*1 + 1) / float64(1+undiscoveredEntryHosts))
		sent := 0
		for range 20 {
			if w := b.send("POST", "/stream/1", "p", nil); w.status == 200 {
				sent++
			}
			time.Sleep(5 * time.Millisecond)
		}
		if sent > allowed {
			t.Errorf("%d requests in a second, the share of this entry host is %d", sent, allowed)
		}
	})
}

// 77 entry hosts send as many requests as they may to an upstream that returned cold. In such a
// deployment the limit was once exceeded when a failure domain came back.
func TestColdBoundHoldsWithMoreEntryHostsThanRequests(t *testing.T) {
	service := &catalog.Service{Name: "plain", WarmupPerSecond: 18}
	allowed := 18*1.5 + 5
	for upstream := range 200 {
		starts := 0
		for e := range 77 {
			b := newBalancer(Config{Name: fmt.Sprintf("entry-%d", e), ColdFactor: 1.5, ColdSlack: 5})
			b.entryHosts = 77
			u := fleet.Upstream{ID: fmt.Sprintf("u%d", upstream), Service: "plain", Slots: 50, State: fleet.Ready, StartedMS: 1, Sequence: 1, WarmupMS: 3000}
			b.applyUpstream(time.Minute, u)
			for range 3 {
				if _, why := b.choose(time.Minute+time.Second, placementRequest{service: service}); why == noReason {
					starts++
				}
			}
		}
		if float64(starts) > allowed {
			t.Errorf("upstream %d gets %d requests in a second, the limit is %.0f", upstream, starts, allowed)
		}
	}
}

func TestColdBoundHoldsForUpstreamsThatBecomeColdAgain(t *testing.T) {
	service := &catalog.Service{Name: "plain", WarmupPerSecond: 18}
	const bound = 18*1.5 + 5
	registry := fleet.NewRegistry()
	u := fleet.Upstream{ID: "u", Service: "plain", Address: "u:1", Slots: 500, State: fleet.Ready, StartedMS: 1, Sequence: 1}
	registry.Announce(0, u)
	sync := func(b *balancer, now time.Duration, revision uint64) {
		b.applySync(now, control.FleetSyncResult{EntryHosts: 75, Full: revision == 0, Upstreams: registry.VisibleSince(revision)}, localUsage{}, false)
	}
	var entries []*balancer
	for e := range 75 {
		b := newBalancer(Config{Name: fmt.Sprintf("entry-%d", e), ColdFactor: 1.5, ColdSlack: 5})
		sync(b, time.Minute, 0)
		entries = append(entries, b)
	}
	revision := registry.VisibleRevision()
	u.Sequence, u.WarmupMS = 2, 3000
	registry.Announce(time.Minute, u)
	starts := 0
	for _, b := range entries {
		sync(b, time.Minute+time.Second, revision)
		for range 3 {
			if _, why := b.choose(time.Minute+time.Second, placementRequest{service: service}); why == noReason {
				starts++
			}
		}
	}
	if float64(starts) > bound {
		t.Errorf("the upstream gets %d requests in a second, the limit is %.0f", starts, float64(bound))
	}
}

func TestClientDisconnectCancelsTheUpstreamRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		b := newHarness(t, map[string]answerFunc{"head1": func(c net.Conn, _ *http.Request, attempt string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Sig: s\r\nTransfer-Encoding: chunked\r\n\r\n", attempt)
			_, _ = c.Read(make([]byte, 1))
			ended <- time.Now()
			return false
		}})
		ctx, leave := context.WithCancel(context.Background())
		r, _ := http.NewRequestWithContext(ctx, "POST", "http://shop.example/stream/1", strings.NewReader("p"))
		r.RequestURI = "/stream/1"
		r.Header.Set("Authorization", "Bearer key-1")
		r.Header.Set(testHeaders.Attempt, "a")
		r.Header.Set(testHeaders.Model, "m")
		go func() {
			defer func() { _ = recover() }() // as net/http does for ErrAbortHandler
			b.gateway.ServeHTTP(&recorder{header: http.Header{}}, r)
		}()
		time.Sleep(100 * time.Millisecond)
		left := time.Now()
		leave()
		if at := <-ended; at.Sub(left) > 100*time.Millisecond {
			t.Errorf("the upstream kept working for %v", at.Sub(left))
		}
	})
}
