package entry

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/logging"
)

// docs/OPERATIONS.md describes how to find the cause of a failed request from its ID. The tests
// below reproduce its three cases and check that the log line contains the fields it relies on.

// requestLine returns the log line of a request.
func requestLine(t *testing.T, out *bytes.Buffer, id string) string {
	t.Helper()
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, "request="+id+" ") {
			return line
		}
	}
	t.Fatalf("no log line of request %s in:\n%s", id, out)
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
