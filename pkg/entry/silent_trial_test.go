package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/control"
	"github.com/sesamemux/sesamemux/pkg/quarantine"
	"github.com/sesamemux/sesamemux/pkg/rpc"
	"github.com/sesamemux/sesamemux/pkg/suspect"
)

// TestSilenceDoesNotEndATrialThatRuns: the coordinator would grant another trial beside it, and
// convict a request whose upstreams were silent twice and went on.
func TestSilenceDoesNotEndATrialThatRuns(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		crashed int // trials that are reported as crashed when the request has ended
	}{
		"goes on":        {silence, 0},
		"until deadline": {time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				from := time.Now().Add(silenceBegin)
				b := newHarness(t, map[string]answerFunc{"head1": silentBetween(from, from.Add(c.silence))})
				b.grantTrials()
				f := suspect.ExactFingerprint("acme", "shop.example", "/stream/1", []byte("prompt"))
				for _, id := range []string{"gone1", "gone2"} {
					b.gateway.guard.Crashed(b.gateway.now(), f, quarantine.SeenCrash{Crash: quarantine.Crash{Upstream: id, StartedMS: 1}, At: b.gateway.now()})
				}
				time.AfterFunc(silenceBegin+silence-time.Millisecond, func() {
					if runs, _ := b.gateway.reporter.take(); len(runs.crashed) > 0 {
						t.Errorf("reported while the trial runs: %+v", runs.crashed)
					}
				})
				w := b.send("POST", "/stream/1", "prompt", nil)
				if c.crashed == 0 && (w.status != http.StatusOK || w.cut || w.body.String() != events10()) {
					t.Errorf("answered %d, cut %v, body %q", w.status, w.cut, w.body.String())
				}
				runs, _ := b.gateway.reporter.take()
				if len(runs.crashed) != c.crashed || c.crashed > 0 && runs.crashed[0].trial == "" || c.crashed == 0 && len(runs.cleared) != 1 {
					t.Errorf("reported at the end: %+v", runs)
				}
				time.Sleep(2 * time.Minute) // let the head end
			})
		})
	}
}

// grantTrials lets a coordinator grant each trial.
func (b *harness) grantTrials() {
	b.answerTrials(func(control.FleetTrialRequest) control.FleetTrialResult {
		return control.FleetTrialResult{Verdict: quarantine.NeedsTrial}
	})
}

// answerTrials lets a coordinator answer the questions for trials.
func (b *harness) answerTrials(answer func(req control.FleetTrialRequest) control.FleetTrialResult) {
	server := rpc.NewServer()
	rpc.Handle(server, string(control.MethodFleetTrial), func(_ context.Context, req control.FleetTrialRequest) (control.FleetTrialResult, error) {
		return answer(req), nil
	})
	l := b.network.Listen("nobody", "nobody:1")
	go func() { _ = server.Serve(l) }()
	b.t.Cleanup(func() {
		_ = l.Close()
		server.Close()
	})
}
