package entry

import (
	"maps"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamemux/sesamemux/pkg/catalog"
	"github.com/sesamemux/sesamemux/pkg/control"
)

func TestRequestsUnderAnOddDocumentGetACompleteAnswer(t *testing.T) {
	changes := maps.Clone(documentChanges)
	changes["engine of infinities"] = func(s *catalog.Set) {
		s.Services[1].Engine = &catalog.Engine{
			Slots: math.MaxInt, StepTime: math.MaxInt64, StepPerRequest: math.MinInt64, PrefillTokensPerS: math.Inf(1),
			MeanPromptTokens: math.MinInt, MeanAnswerTokens: math.MaxInt, Models: []catalog.Model{{Name: "m", Pace: math.NaN()}},
		}
	}
	changes["negative limits"] = func(s *catalog.Set) { s.Limits.BodyBytes, s.Services[1].WarmupPerSecond = -1, -1 }
	changes["streams to a plain service"] = func(s *catalog.Set) { s.Routes[2].Backends[0].Service = "plain" }
	changes["calls to an engine"] = func(s *catalog.Set) { s.Routes[0].Backends[0].Service = "models" }
	changes["backends without a weight"] = func(s *catalog.Set) {
		for i := range s.Routes {
			s.Routes[i].Backends = append([]catalog.Backend{{Service: "none"}}, s.Routes[i].Backends...)
		}
	}
	changes["no attempts"] = func(s *catalog.Set) {
		for i := range s.Routes {
			s.Routes[i].MaxAttempts = 0
		}
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer := fixedAnswer(200, "X-Sig: s\r\n", "")
				b := newHarness(t, map[string]answerFunc{"p1": answer, "head1": answer})
				server := b.serveClients()
				putInForce(b.gateway, change)
				for _, kind := range []string{"once", "again", "stream"} {
					if a := b.exchangeOnce("POST", requestText("POST", "/"+kind+"/1", "body", nil)); a.err != nil {
						t.Errorf("%s: status %d, %v", kind, a.status, a.err)
					}
				}
				_ = server.Close()
				time.Sleep(time.Minute) // let the upstreams end
			})
		})
	}
}

func TestRequestsWithOddUpstreamsGetACompleteAnswer(t *testing.T) {
	for name, change := range map[string]func(b *harness){
		"no slots":         func(b *harness) { b.upstreams[0].Slots = 0 },
		"negative slots":   func(b *harness) { b.upstreams[0].Slots = math.MinInt },
		"many slots":       func(b *harness) { b.upstreams[0].Slots = math.MaxInt },
		"no group":         func(b *harness) { b.upstreams[0].Assignment = nil },
		"no address":       func(b *harness) { b.upstreams[0].Address = "" },
		"endless warm-up":  func(b *harness) { b.upstreams[0].WarmupMS = math.MaxInt64 },
		"negative warm-up": func(b *harness) { b.upstreams[0].WarmupMS = math.MinInt64 },
	} {
		for _, kind := range []string{"once", "stream"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, map[string]answerFunc{map[string]string{"once": "p1", "stream": "head1"}[kind]: fixedAnswer(200, "X-Sig: s\r\n", "")})
					server := b.serveClients()
					b.upstreams[0].Sequence = 2
					change(b)
					b.gateway.balancer.applySync(b.gateway.now(), control.FleetSyncResult{Full: true, Converged: true, Upstreams: b.upstreams}, localUsage{}, true)
					if a := b.exchangeOnce("POST", requestText("POST", "/"+kind+"/1", "body", nil)); a.err != nil {
						t.Errorf("status %d, %v", a.status, a.err)
					}
					_ = server.Close()
				})
			})
		}
	}
}

// A new entry host holds requests until its first document; it must not hold them during a stop.
func TestRequestThatWaitsForADocumentIsAnsweredBeforeTheProcessExits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, nil)
		b.gateway.index.Store(nil)
		b.gateway.firstDocumentReady = make(chan struct{})
		server := b.serveClients()
		began := time.Now()
		time.AfterFunc(10*time.Millisecond, func() { b.stop(server, 500*time.Millisecond) })
		if a := b.exchangeOnce("POST", requestText("POST", "/once/1", "body", nil)); a.err != nil || a.status != 503 {
			t.Errorf("status %d, %v", a.status, a.err)
		}
		if took := time.Since(began); took < 300*time.Millisecond || took > 400*time.Millisecond {
			t.Errorf("took %v of virtual time", took)
		}
		time.Sleep(time.Minute) // let the server stop
	})
}
