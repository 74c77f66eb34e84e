package gates

import (
	"time"

	"github.com/sesamemux/sesamemux/pkg/permit"
	"github.com/sesamemux/sesamemux/pkg/prove"
	"github.com/sesamemux/sesamemux/pkg/proxy"
)

// noticeTime is how long the balancer still sends after health is off.
const noticeTime = 2 * time.Second

// shutdown takes one of three gates out of service under load. Callers go to
// it until the balancer has noticed; peers until they have the view.
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
			l.ask(at, g, question{organisation: "boia", tokens: 20 + r.IntN(80), streaming: i%2 == 0, deadline: 30 * time.Second})
		}
		time.Sleep(command)
		if graceful {
			w.leave(leaving)
		}
		leaving.kill()
		if err := l.wait(); err != nil {
			return err
		}
		return l.allWhole()
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

// leave is the daemon's part of a graceful shutdown: health off, take what
// still comes, finish all, sign off.
func (w *world) leave(g *gate) {
	g.proxy.Drain()
	time.Sleep(noticeTime)
	g.proxy.RefuseNew()
	g.leaving.Store(true)
	for g.proxy.Active() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(5 * syncInterval)
}
