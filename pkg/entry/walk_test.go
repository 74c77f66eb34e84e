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

// The three walks of docs/OPERATIONS.md from a request's ID to its cause: each
// is played, and the line that the page looks for must tell the cause.

func lineOf(t *testing.T, out *bytes.Buffer, id string) string {
	t.Helper()
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, "request="+id+" ") {
			return line
		}
	}
	t.Fatalf("no line of request %s in:\n%s", id, out)
	return ""
}

func wants(t *testing.T, line string, fields ...string) {
	t.Helper()
	for _, f := range fields {
		if !strings.Contains(line, f) {
			t.Errorf("line lacks %s: %s", f, line)
		}
	}
}

func TestWalkOfARequestRefusedInOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := newLoggedBench(t, logging.New(&out, logging.Options{Process: "entry"}), map[string]answerFunc{"head1": streamFrom(1, 1, "s", nil)})
		b.gate.balancer.targets["head1"].others = 50
		b.send("POST", "/stream/1", "p", nil)
		wants(t, lineOf(t, &out, "a-1"), "outcome=refused", "status=503", `reason="all upstreams are full"`, "sent=0",
			`inputs="upstreams=1 tried=0 failing=0 running=50 room=5"`, "view_age_ms=", "document=1")
	})
}

func TestWalkOfAStreamCutWithItsGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := newLoggedBench(t, logging.New(&out, logging.Options{Process: "entry"}),
			map[string]answerFunc{"head1": streamFrom(10, 4, "s", func(net.Conn) { time.Sleep(time.Minute) })})
		b.send("POST", "/stream/1", "p", nil)
		time.Sleep(2 * time.Minute)
		wants(t, lineOf(t, &out, "a-1"), `outcome="cut short"`, "upstream=head1", "sent=1", "first_ms=", "pause_ms=")
		if !strings.Contains(out.String(), "head went silent") || !strings.Contains(out.String(), "head=head1") {
			t.Errorf("no line of the silent head in:\n%s", out.String())
		}
	})
}

func TestWalkOfACallWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := newLoggedBench(t, logging.New(&out, logging.Options{Process: "entry"}), map[string]answerFunc{"p1": cutAfter("%.0s")})
		b.send("POST", "/once/1", "book", nil)
		wants(t, lineOf(t, &out, "a-1"), "outcome=unknown", "status=502", "upstream=p1", "sent=1", "cause=")
	})
}
