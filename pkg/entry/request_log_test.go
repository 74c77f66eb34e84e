package entry

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/logging"
)

// docs/OPERATIONS.md describes how to find the cause of a failed request from its ID. The tests
// below reproduce its three cases and check that the log line contains the fields it relies on.

// requestLine returns the log line of the end of a request.
func requestLine(t *testing.T, out *bytes.Buffer, id string) string {
	t.Helper()
	return requestLineWith(t, out, id, "request ended")
}

// requestLineWith returns the first log line of a request with the given message.
func requestLineWith(t *testing.T, out *bytes.Buffer, id, message string) string {
	t.Helper()
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, "request="+id+" ") && strings.Contains(line, `msg="`+message+`"`) {
			return line
		}
	}
	t.Fatalf("no line %q of request %s in:\n%s", message, id, out)
	return ""
}

func assertFields(t *testing.T, line string, fields ...string) {
	t.Helper()
	for _, f := range fields {
		if !strings.Contains(line, f) {
			t.Errorf("log line lacks %s: %s", f, line)
		}
	}
}

func TestLogExplainsARequestRefusedInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := newLoggedHarness(t, logging.New(&out, logging.Options{Process: "entry"}), map[string]answerFunc{"head1": streamFrom(1, 1, "s", nil)})
		b.gateway.balancer.targets["head1"].others = 50
		b.send("POST", "/stream/1", "p", nil)
		assertFields(t, requestLine(t, &out, "a-1"), "outcome=refused", "status=503", `reason="all upstreams are full"`, "sent=0",
			`inputs="upstreams=1 tried=0 failing=0 running=50 room=5"`, "view_age_ms=", "document=1")
	})
}

func TestLogExplainsAStreamCutByASilentHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := newLoggedHarness(t, logging.New(&out, logging.Options{Process: "entry"}),
			map[string]answerFunc{"head1": streamFrom(10, 4, "s", func(net.Conn) { time.Sleep(time.Minute) })})
		b.send("POST", "/stream/1", "p", nil)
		time.Sleep(2 * time.Minute)
		assertFields(t, requestLine(t, &out, "a-1"), `outcome="cut short"`, "upstream=head1", "sent=1", "first_ms=", "pause_ms=")
		if !strings.Contains(out.String(), "head went silent") || !strings.Contains(out.String(), "head=head1") {
			t.Errorf("no log line about the silent head in:\n%s", out.String())
		}
	})
}

func TestLogExplainsACallWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := newLoggedHarness(t, logging.New(&out, logging.Options{Process: "entry"}), map[string]answerFunc{"p1": cutAfter("%.0s")})
		b.send("POST", "/once/1", "book", nil)
		assertFields(t, requestLine(t, &out, "a-1"), "outcome=unknown", "status=502", "upstream=p1", "sent=1", "cause=")
	})
}

const brokeOffLine = "upstream broke off a request"

func TestLogTellsAnEndedUpstreamFromABrokenConnection(t *testing.T) {
	for state, ends := range map[string]bool{"ended": true, "alive": false} {
		t.Run(state, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				var b *harness
				b = newLoggedHarness(t, logging.New(&out, logging.Options{Process: "entry"}), map[string]answerFunc{"p1": func(net.Conn, *http.Request, string) bool {
					if ends {
						b.network.Kill("p1")
					}
					return false
				}})
				b.send("POST", "/once/1", "first", map[string]string{testHeaders.Attempt: "a-1"})
				lines := requestLineWith(t, &out, "a-1", brokeOffLine)
				assertFields(t, lines, "upstream=p1", "born=1", "upstream_state="+state, "executions=1")
				_, fingerprint, _ := strings.Cut(lines, "fingerprint=")
				fingerprint, _, _ = strings.Cut(fingerprint, " ")
				out.Reset()
				time.Sleep(maxBackoff)
				b.send("POST", "/once/1", "first", map[string]string{testHeaders.Attempt: "a-2"})
				time.Sleep(maxBackoff)
				b.send("POST", "/once/1", "other", map[string]string{testHeaders.Attempt: "a-3"})
				if !ends && !strings.Contains(requestLineWith(t, &out, "a-2", brokeOffLine), fingerprint) {
					t.Errorf("the second arrival of the request has another fingerprint than %s:\n%s", fingerprint, &out)
				}
				if !ends && strings.Contains(requestLineWith(t, &out, "a-3", brokeOffLine), fingerprint) {
					t.Errorf("another request has fingerprint %s", fingerprint)
				}
			})
		})
	}
}
