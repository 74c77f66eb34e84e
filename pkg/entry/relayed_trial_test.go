package entry

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/suspect"
)

// TestTrialOfARequestThatIsRelayedEndsBeforeIt: the entry host that relays asks for a trial of its own,
// which is not granted while this one counts as running.
func TestTrialOfARequestThatIsRelayedEndsBeforeIt(t *testing.T) {
	for kind, prefix := range map[string]string{"again": "p", "stream": "head"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var b *harness
				var ended []control.FleetTrial
				answer := fixedAnswer(200, "X-Sig: s1\r\n", "done")
				if kind == "stream" {
					answer = streamFrom(10, 10, "s", nil)
				}
				run := func(c net.Conn, r *http.Request, attempt string) bool {
					runs, _ := b.gateway.reporter.take()
					ended = runs.ended
					return answer(c, r, attempt)
				}
				b, peer := newRelayingHarness(t, map[string]answerFunc{prefix + "1": run, prefix + "2": run})
				reachUpstreams(b.gateway)
				b.answerTrials(func(req control.FleetTrialRequest) control.FleetTrialResult {
					if req.Process == peer.cfg.Name {
						return control.FleetTrialResult{Verdict: quarantine.Free}
					}
					cutOff(b.gateway)
					return control.FleetTrialResult{Verdict: quarantine.NeedsTrial}
				})
				f := suspect.ExactFingerprint("acme", "shop.example", "/"+kind+"/1", []byte("prompt"))
				for _, id := range []string{"gone1", "gone2"} {
					b.gateway.guard.Crashed(b.gateway.now(), f, quarantine.SeenCrash{Crash: quarantine.Crash{Upstream: id, StartedMS: 1}, At: b.gateway.now()})
				}
				if w := b.send("POST", "/"+kind+"/1", "prompt", nil); w.status != http.StatusOK || w.cut {
					t.Errorf("answered %d, cut %v, %q", w.status, w.cut, w.body.String())
				}
				if len(ended) != 1 || !ended[0].NotRun {
					t.Errorf("when the relayed request ran, the reported ends of trials were %+v", ended)
				}
				time.Sleep(time.Minute) // let the upstreams end
			})
		})
	}
}
