package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

// An upstream may answer before it has read a long body, be silent, and read on later.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	body := strings.Repeat("b", 5<<20)
	for name, silent := range map[string]time.Duration{"at once": 0, "after 1.5 s": 1500 * time.Millisecond} {
		for _, kind := range []string{"once", "again"} {
			t.Run(kind+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, map[string]answerFunc{"p1": nil})
					putInForce(b.gateway, func(s *catalog.Set) { s.Limits.BodyBytes = 0 })
					b.network.Kill("p1")
					l := b.network.Listen("p1", "p1:80")
					received := make(chan string, 1)
					go func() {
						c, err := l.Accept()
						if err != nil {
							return
						}
						r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
						if err != nil {
							return
						}
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt: %s\r\nX-Sig: s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get(testHeaders.Attempt))
						time.Sleep(silent)
						raw, _ := io.ReadAll(r.Body)
						received <- string(raw)
					}()
					server := b.serveClients()
					if a := b.exchangeOnce("POST", requestText("POST", "/"+kind+"/1", body, nil)); a.err != nil || a.status != 200 || a.body != "ok" {
						t.Errorf("status %d, body %q, %v", a.status, a.body, a.err)
					}
					if got := <-received; got != body {
						t.Errorf("upstream read %d bytes of %d, or other ones", len(got), len(body))
					}
					_ = server.Close()
				})
			})
		}
	}
}
