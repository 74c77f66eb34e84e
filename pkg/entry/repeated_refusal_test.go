package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// repeatsRefusals turns every second request away, and writes each refusal once more: at once, when the
// connection has rested, or before the next answer.
func repeatsRefusals(when string) answerFunc {
	var n atomic.Int64
	earlier := make(chan string, 1000)
	return func(c net.Conn, _ *http.Request, attempt string) bool {
		refusal := fmt.Sprintf("HTTP/1.1 503 X\r\nX-Attempt: %s\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull", attempt)
		if n.Add(1)%2 == 1 {
			switch when {
			case "at once":
				refusal += refusal
			case "when it has rested":
				time.AfterFunc(30*time.Millisecond, func() { _, _ = io.WriteString(c, refusal) })
			case "before the next answer":
				earlier <- refusal
			}
			_, err := io.WriteString(c, refusal)
			return err == nil
		}
		select {
		case again := <-earlier:
			_, _ = io.WriteString(c, again)
		default:
		}
		return fixedAnswer(200, "X-Sig: s\r\n", "done")(c, nil, attempt)
	}
}

func TestRequestsAreServedBesideAnUpstreamThatRepeatsRefusals(t *testing.T) {
	for _, when := range []string{"at once", "when it has rested", "before the next answer"} {
		t.Run(when, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sound := fixedAnswer(200, "X-Sig: s\r\n", "done")
				b := newHarness(t, map[string]answerFunc{"p1": repeatsRefusals(when), "p2": sound, "p3": sound})
				served, failures := 0, map[string]int{}
				for i := range 160 {
					w := b.send("POST", "/again/1", "body", map[string]string{testHeaders.Attempt: fmt.Sprintf("a-%d", i)})
					if w.status == 200 {
						served++
					} else {
						failures[fmt.Sprint(w.status, " ", strings.TrimSpace(w.body.String()))]++
					}
					time.Sleep(50 * time.Millisecond)
				}
				if served < 155 {
					t.Errorf("%d of 160 requests were served; %v", served, failures)
				}
			})
		})
	}
}
