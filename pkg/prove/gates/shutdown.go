package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// noticeTime is how long the balancer sends requests after the health check fails.
const noticeTime = 2 * time.Second

// shutdown shuts one of three gates down under load. Callers use it until the balancer
// has noticed, and peers until they have the new view.
func shutdown(graceful bool) prove.Scenario {
	return func(seed uint64) error {
		w := newWorld(permit.Options{})
		defer w.close()
		w.limits.ColdInFlight = w.limits.MaxInFlight
		w.startGates(3, proxy.Options{})
		for i := range 2 {
			if err := w.publishGroup(w.startHost(hostOf(i), warmModel()), groupOf(i), domainOf(i)); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		r, l := random(seed), w.newLoad()
		leaving := w.holder("assistant-1")
		const command = 2 * time.Second
		for i := range 120 {
			at := time.Duration(i) * 60 * time.Millisecond
			g := w.gates[r.IntN(3)]
			if g == leaving && at > command+noticeTime-200*time.Millisecond {
				g = w.gates[(indexOf(w.gates, leaving)+1)%3]
			}
			l.ask(at, g, request{organisation: "boia", tokens: 20 + r.IntN(80), streaming: i%2 == 0, deadline: 30 * time.Second})
		}
		time.Sleep(command)
		if graceful {
			w.shutDownGate(leaving)
		}
		leaving.kill()
		if err := l.wait(); err != nil {
			return err
		}
		return l.checkAllComplete()
	}
}

func indexOf(list []*gate, g *gate) int {
	for i := range list {
		if list[i] == g {
			return i
		}
	}
	return 0
}

// shutDownGate does a daemon's part of a graceful shutdown: it fails the health check,
// accepts requests for noticeTime, finishes all, and reports its departure.
func (w *world) shutDownGate(g *gate) {
	g.proxy.Drain()
	time.Sleep(noticeTime)
	g.proxy.RefuseNew()
	g.leaving.Store(true)
	for g.proxy.Active() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(5 * syncInterval)
}
