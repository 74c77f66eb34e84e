package entry

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentUpstreamIsLeftOnlyForAnother: an idempotent request once got 502 after 1.2 s of silence
// although no other upstream could take it.
func TestSilentUpstreamIsLeftOnlyForAnother(t *testing.T) {
	for name, c := range map[string]struct {
		prepare  func(*harness)
		upstream string // that serves the request
	}{
		"another one":               {func(*harness) {}, "p2"},
		"another one is full":       {func(b *harness) { b.gateway.balancer.targets["p2"].others = 50 }, "p1"},
		"another one fails":         {func(b *harness) { b.gateway.balancer.targets["p2"].backoffUntil = b.gateway.now() + time.Minute }, "p1"},
		"another one of no service": {func(b *harness) { b.gateway.balancer.targets["p2"].Service = "none" }, "p1"},
		"no retries are left": {func(b *harness) {
			b.gateway.budget.addRequest("plain", 1)
			for b.gateway.budget.spend("plain") {
			}
		}, "p1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, map[string]answerFunc{"p1": pausing(200, "p", "1"), "p2": fixedAnswer(200, "X-Sig: s\r\n", "p2")})
				b.gateway.balancer.targets["p2"].errorRate = 1 // p1 is chosen first
				c.prepare(b)
				if w := b.send("POST", "/again/1", "x", nil); w.status != http.StatusOK || w.body.String() != c.upstream {
					t.Errorf("status %d, body %q, want that of %s", w.status, &w.body, c.upstream)
				}
				time.Sleep(time.Minute) // let the upstreams end
			})
		})
	}
}

// An upstream that never answers is given up at the deadline.
func TestUpstreamThatStaysSilentIsGivenUpAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, map[string]answerFunc{"p1": func(net.Conn, *http.Request, string) bool { time.Sleep(time.Minute); return false }})
		before := time.Now()
		if w := b.send("POST", "/again/1", "x", nil); w.status != http.StatusGatewayTimeout {
			t.Errorf("status %d", w.status)
		}
		if took := time.Since(before); took < 3*time.Second || took > 3100*time.Millisecond {
			t.Errorf("took %v of virtual time", took)
		}
		time.Sleep(time.Minute) // let the upstream end
	})
}
