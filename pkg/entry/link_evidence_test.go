package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// brokenAttempts returns how many attempts of all entry hosts broke off, by the state of their upstream.
func (f *testFleet) brokenAttempts() map[string]int {
	f.t.Helper()
	counts := map[string]int{}
	for _, p := range f.entries {
		families, err := p.g.Load().Metrics().Registry.Gather()
		if err != nil {
			f.t.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() != "sesame_entry_broken_attempts_total" {
				continue
			}
			for _, m := range family.GetMetric() {
				counts[m.GetLabel()[0].GetValue()] += int(m.GetCounter().GetValue())
			}
		}
	}
	return counts
}

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
					if n := p.brokenAttempts()["ended"]; n > 0 {
						t.Errorf("%d of %v broken attempts are taken for ends of upstreams", n, p.brokenAttempts())
					}
					if n := p.withheld(); n > 0 {
						t.Errorf("%d requests were withheld as crashing ones", n)
					}
				})
			})
		}
	}
}
