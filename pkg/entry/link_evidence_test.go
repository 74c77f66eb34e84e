package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestLostLinkIsNotTheEndOfAnUpstream: connections that are reset and refused look like an upstream that
// has ended, but only from here.
func TestLostLinkIsNotTheEndOfAnUpstream(t *testing.T) {
	for _, share := range []float64{0.5, 1} {
		for cut := 1; cut <= 4; cut++ {
			t.Run(fmt.Sprintf("%v of the links of %d of 4", share, cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newLinkPlay(newTestFleet(t, 4, fleetSize{entries: 4, plain: 6, engines: 8}), cut)
					random := rand.New(rand.NewPCG(uint64(cut), 2))
					for range 4 {
						p.send(time.Second, false)
						for _, e := range p.entries[:cut] {
							for _, h := range p.hosts {
								if random.Float64() < share {
									linkLosses[1].begin(p.network, e.name, h.name)
								}
							}
						}
						p.send(time.Second, false)
						p.setLinks(linkLosses[1].end)
					}
					p.work.Wait()
					if broken := p.counter("sesame_entry_broken_attempts_total"); broken["ended"] > 0 {
						t.Errorf("broken attempts are taken for ends of upstreams: %v", broken)
					}
					p.assertNoneWithheld()
				})
			})
		}
	}
}

// TestSilenceOfLostLinksAccusesNoPrompt: all entry hosts lose their links together, so that no run shows
// the parts that all prompts share to be harmless.
func TestSilenceOfLostLinksAccusesNoPrompt(t *testing.T) {
	eachLinkLoss(t, func(t *testing.T, loss linkLoss) {
		p := newLinkPlay(newTestFleet(t, 5, fleetSize{entries: 4, plain: 5, engines: 8}), 4)
		p.parts = "5e11a:40,0ff1ce:60"
		for range 4 {
			p.setLinks(loss.begin)
			p.send(2*time.Second, false)
			p.assertNotAccused()
			p.setLinks(loss.end)
			p.send(500*time.Millisecond, false)
		}
		p.send(time.Second, false)
		p.send(3*time.Second, true)
		p.assertServedAlike("after the cuts")
		p.assertNoneWithheld()
	})
}

// assertNotAccused checks that no entry host holds a crash against the first part of the prompts.
func (p *linkPlay) assertNotAccused() {
	p.t.Helper()
	shared := readPromptParts([]string{p.parts})[0]
	for _, e := range p.entries {
		if crashes := e.g.Load().guard.CrashesOf(shared); len(crashes) > 0 {
			p.t.Errorf("%s holds %d crashes against the shared part", e.name, len(crashes))
		}
	}
}

// TestUpstreamsThatHaveEndedAreNoLostLinks: one that can still be reached shows that the links work.
func TestUpstreamsThatHaveEndedAreNoLostLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstreams := map[string]answerFunc{}
		for n := range 8 {
			upstreams[fmt.Sprint("p", n)] = fixedAnswer(200, "X-Sig: s\r\n", "x")
		}
		b := newHarness(t, upstreams)
		for n := range 7 {
			b.network.Kill(fmt.Sprint("p", n))
		}
		b.gateway.links.watching.Store(true)
		for range 50 {
			b.gateway.links.round()
			if b.gateway.links.cutOff() {
				t.Fatal("cut off although an upstream can be reached")
			}
		}
	})
}
